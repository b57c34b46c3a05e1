//! What a leader may propose about the membership, and when a newcomer counts.

mod cluster;

use cluster::{CONFIG, TIMEOUTS, TOLERANCE};
use raft::*;

fn voter(id: u64) -> Voter {
    Voter {
        id,
        address: format!("at-{id}"),
        zone: format!("z{id}"),
        region: format!("r{id}"),
    }
}

fn membership(ids: &[u64]) -> Membership {
    Membership {
        voters: ids.iter().map(|id| voter(*id)).collect(),
        ..Default::default()
    }
}

/// Node 1 of three, elected by node 2 at this time; nothing of its term is committed.
fn elected(now: &mut u64) -> RaftNode {
    let snapshot = Snapshot {
        index: 5,
        term: 3,
        membership: Some(membership(&[1, 2, 3])),
        data: Vec::new(),
    };
    let saved = PersistentState {
        hard_state: HardState { term: 3, vote: 0 },
        snapshot,
        ..Default::default()
    };
    let mut me = RaftNode::new(1, saved, CONFIG, *now, 1);
    for kind in [MessageType::PreVoteResponse, MessageType::VoteResponse] {
        while !matches!(me.role(), Role::PreCandidate | Role::Candidate) {
            *now += 50;
            me.tick(*now);
        }
        let yes = Message {
            message_type: kind as i32,
            term: 4,
            granted: true,
            ..Default::default()
        };
        me.step(*now, 2, yes);
    }
    assert!(me.is_leader());
    me.on_persisted(me.last_position());
    me
}

fn appended(me: &mut RaftNode, now: u64, from: u64, index: u64) {
    let message = Message {
        message_type: MessageType::AppendEntriesResponse as i32,
        term: me.term(),
        index,
        granted: true,
        round: 1,
        ..Default::default()
    };
    me.step(now, from, message);
    me.on_persisted(me.last_position());
}

#[test]
fn proposes_one_membership_at_a_time_and_only_in_an_established_term() {
    let mut now = 1000;
    let mut me = elected(&mut now);
    assert!(
        !me.propose_membership(&membership(&[1, 2, 3, 4])),
        "nothing of its term is committed"
    );
    let last = me.last_index();
    appended(&mut me, now, 2, last);
    assert!(me.is_established_leader());
    assert!(
        !me.propose_membership(&membership(&[1, 2, 3, 4, 5])),
        "two at once"
    );
    assert!(
        !me.propose_membership(&membership(&[1, 2, 4])),
        "one for another is two"
    );
    assert!(!me.propose_membership(&membership(&[])));
    assert!(me.propose_membership(&membership(&[1, 2, 3, 4])));
    me.on_persisted(me.last_position());
    assert!(
        !me.propose_membership(&membership(&[1, 2, 3])),
        "one is under way"
    );
    let last = me.last_index();
    appended(&mut me, now, 2, last);
    assert!(me.is_membership_pending(), "two of four are no majority");
    appended(&mut me, now, 3, last);
    assert!(!me.is_membership_pending() && me.propose_membership(&membership(&[1, 2, 3])));
}

#[test]
fn newcomer_counts_once_its_disk_has_the_snapshot() {
    let mut now = 1000;
    let mut me = elected(&mut now);
    let last = me.last_index();
    appended(&mut me, now, 2, last);
    appended(&mut me, now, 3, last);
    let peers = [PeerObservation {
        voter: voter(4),
        has_disk: true,
        is_alive: true,
    }];
    now += 100;
    me.tick(now);
    me.set_learners(&[2, 3, 4].into());
    let sent = me.take_ready().messages;
    let install = sent
        .into_iter()
        .find(|m| m.to == 4 && m.message_type() == MessageType::InstallSnapshot);
    let next = |me: &RaftNode, now| next_membership(me, now, &peers, TOLERANCE, TIMEOUTS);
    let mut newcomer = RaftNode::new(4, PersistentState::default(), CONFIG, now, 4);
    newcomer.step(now, 1, install.expect("a snapshot"));
    let lacks = Message {
        message_type: MessageType::AppendEntriesResponse as i32,
        term: 4,
        round: 1,
        ..Default::default()
    };
    me.step(now, 4, lacks);
    assert_eq!(next(&me, now), None, "sent is not held");
    let ready = newcomer.take_ready();
    assert!(
        ready.write.snapshot.is_some() && ready.messages.is_empty(),
        "not before the disk has it"
    );
    // Four voters bear no more than three; of four regions one may be lost.
    for message in ready.persisted_messages {
        me.step(now, 4, message);
    }
    let behind = me.progress(4).map(|p| p.matched);
    assert_eq!(behind, Some(5));
    assert!(next(&me, now).is_some_and(|r| r.contains(4)));
}

/// An entry that stood on two of three disks stands on too few once a fourth votes, until
/// one more has it.
#[test]
fn durability_counts_the_disks_of_the_membership_in_force() {
    let mut now = 1000;
    let mut me = elected(&mut now);
    let is_durable_at =
        |me: &RaftNode, index, now| is_durable(me, index, now, TOLERANCE, TIMEOUTS.contact_ms);
    let last = me.last_index();
    assert!(!is_durable_at(&me, last, now), "not committed");
    appended(&mut me, now, 2, last);
    appended(&mut me, now, 3, last - 1);
    assert!(is_durable_at(&me, last, now));
    assert!(me.propose_membership(&membership(&[1, 2, 3, 4])));
    me.on_persisted(me.last_position());
    appended(&mut me, now, 4, last - 1);
    assert!(!is_durable_at(&me, last, now), "two of four");
    appended(&mut me, now, 3, last);
    assert!(is_durable_at(&me, last, now));
}
