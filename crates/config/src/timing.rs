//! The timeouts and intervals of the protocols, composed from the constants. The program and its
//! simulation use the same values.

use crate::constants as c;

/// Timeouts, intervals and sizes of Raft.
pub const RAFT: raft::Config = raft::Config {
    heartbeat_ms: c::HEARTBEAT_MS,
    learner_heartbeat_ms: c::LEARNER_HEARTBEAT_MS,
    election_timeout_ms: c::ELECTION_TIMEOUT_MS,
    election_jitter_ms: c::ELECTION_JITTER_MS,
    lease_ms: c::LEASE_MS,
    resend_ms: c::APPEND_RESEND_MS,
    snapshot_resend_ms: c::SNAPSHOT_RESEND_MS,
    peer_timeout_ms: c::PEER_TIMEOUT_MS,
    append_bytes: c::APPEND_BYTES,
    retained_bytes: c::LOG_RETAINED_BYTES,
};

/// Timeouts after which a leader acts on an unresponsive voter.
pub const VOTER_TIMEOUTS: raft::VoterTimeouts = raft::VoterTimeouts {
    contact_ms: c::CONTACT_TIMEOUT_MS,
    removal_ms: c::VOTER_REMOVAL_TIMEOUT_MS,
    urgent_removal_ms: c::VOTER_URGENT_REMOVAL_TIMEOUT_MS,
};

/// Timeouts after which a learner acts on an unresponsive upstream.
pub const UPSTREAM_TIMEOUTS: raft::UpstreamTimeouts = raft::UpstreamTimeouts {
    unresponsive_ms: c::UPSTREAM_TIMEOUT_MS,
    backoff_ms: c::UPSTREAM_BACKOFF_MS,
};

/// Timeouts, intervals and sizes of the membership protocol.
pub const GOSSIP: gossip::Config = gossip::Config {
    probe_interval_ms: c::PROBE_INTERVAL_MS,
    probe_timeout_ms: c::PROBE_TIMEOUT_MS,
    suspect_after_ms: c::SUSPECT_AFTER_MS,
    indirect_probes: c::INDIRECT_PROBES,
    suspicion_timeout_ms: c::SUSPICION_TIMEOUT_MS,
    dead_retention_ms: c::DEAD_RETENTION_MS,
    retransmits: c::GOSSIP_RETRANSMITS,
    message_members: c::GOSSIP_MESSAGE_MEMBERS,
    join_interval_ms: c::JOIN_INTERVAL_MS,
    rejoin_interval_ms: c::REJOIN_INTERVAL_MS,
    exchange_interval_ms: c::EXCHANGE_INTERVAL_MS,
};
