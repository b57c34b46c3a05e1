//! Rules for membership proposals, and for counting disks in a changing membership.

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

/// Returns node 1 of three, elected leader with the vote of node 2; `now` is advanced to the
/// time of its election. No entry of its term is committed yet.
fn elected_leader(now: &mut u64) -> RaftNode {
    let snapshot = Snapshot {
        index: 5,
        term: 3,
        membership: Some(membership(&[1, 2, 3])),
        data: Vec::new(),
    };
    let persisted_state = PersistentState {
        hard_state: HardState { term: 3, vote: 0 },
        snapshot,
        ..Default::default()
    };
    let mut node = RaftNode::new(1, persisted_state, CONFIG, *now, 1);
    for message_type in [MessageType::PreVoteResponse, MessageType::VoteResponse] {
        while !matches!(node.role(), Role::PreCandidate | Role::Candidate) {
            *now += 50;
            node.tick(*now);
        }
        let vote = Message {
            message_type: message_type as i32,
            term: 4,
            granted: true,
            ..Default::default()
        };
        node.step(*now, 2, vote);
    }
    assert!(node.is_leader());
    node.on_persisted(node.last_position());
    node
}

fn acknowledge_append(node: &mut RaftNode, now: u64, from: u64, index: u64) {
    let message = Message {
        message_type: MessageType::AppendEntriesResponse as i32,
        term: node.term(),
        index,
        granted: true,
        round: 1,
        ..Default::default()
    };
    node.step(now, from, message);
    node.on_persisted(node.last_position());
}

#[test]
fn only_an_established_leader_proposes_one_membership_change_at_a_time() {
    let mut now = 1000;
    let mut node = elected_leader(&mut now);
    assert!(
        !node.propose_membership(&membership(&[1, 2, 3, 4])),
        "proposed a change before an entry of its term was committed"
    );
    let last = node.last_index();
    acknowledge_append(&mut node, now, 2, last);
    assert!(node.is_established_leader());
    assert!(
        !node.propose_membership(&membership(&[1, 2, 3, 4, 5])),
        "added two voters at once"
    );
    assert!(
        !node.propose_membership(&membership(&[1, 2, 4])),
        "replaced a voter, which changes two"
    );
    assert!(!node.propose_membership(&membership(&[])));
    assert!(node.propose_membership(&membership(&[1, 2, 3, 4])));
    node.on_persisted(node.last_position());
    assert!(
        !node.propose_membership(&membership(&[1, 2, 3])),
        "proposed a change while another is pending"
    );
    let last = node.last_index();
    acknowledge_append(&mut node, now, 2, last);
    assert!(node.is_membership_pending(), "committed by two of four voters");
    acknowledge_append(&mut node, now, 3, last);
    assert!(!node.is_membership_pending() && node.propose_membership(&membership(&[1, 2, 3])));
}

#[test]
fn learner_is_promoted_only_once_its_disk_has_the_snapshot() {
    let mut now = 1000;
    let mut node = elected_leader(&mut now);
    let last = node.last_index();
    acknowledge_append(&mut node, now, 2, last);
    acknowledge_append(&mut node, now, 3, last);
    let peers = [PeerObservation {
        voter: voter(4),
        has_disk: true,
        is_alive: true,
    }];
    now += 100;
    node.tick(now);
    node.set_learners(&[2, 3, 4].into());
    let messages = node.take_ready().messages;
    let install = messages
        .into_iter()
        .find(|m| m.to == 4 && m.message_type() == MessageType::InstallSnapshot);
    let next_membership_at = |node: &RaftNode, now| next_membership(node, now, &peers, TOLERANCE, TIMEOUTS);
    let mut learner = RaftNode::new(4, PersistentState::default(), CONFIG, now, 4);
    learner.step(now, 1, install.expect("no snapshot was sent to the learner"));
    let rejection = Message {
        message_type: MessageType::AppendEntriesResponse as i32,
        term: 4,
        round: 1,
        ..Default::default()
    };
    node.step(now, 4, rejection);
    assert_eq!(
        next_membership_at(&node, now),
        None,
        "promoted before it confirmed the snapshot"
    );
    let ready = learner.take_ready();
    assert!(
        ready.write.snapshot.is_some() && ready.messages.is_empty(),
        "the snapshot was confirmed before it was on disk"
    );
    // Four voters tolerate no more lost voters than three. In four regions, they tolerate the
    // loss of one region.
    for message in ready.persisted_messages {
        node.step(now, 4, message);
    }
    let matched = node.progress(4).map(|p| p.matched);
    assert_eq!(matched, Some(5));
    assert!(next_membership_at(&node, now).is_some_and(|r| r.contains(4)));
}

/// Guards against counting the disks of an earlier membership: an entry on two of three disks
/// is no longer on a majority once a fourth voter is added, until one more voter has it.
#[test]
fn durability_counts_the_disks_of_the_membership_in_force() {
    let mut now = 1000;
    let mut node = elected_leader(&mut now);
    let is_durable_at =
        |node: &RaftNode, index, now| is_durable(node, index, now, TOLERANCE, TIMEOUTS.contact_ms);
    let last = node.last_index();
    assert!(!is_durable_at(&node, last, now), "durable before it is committed");
    acknowledge_append(&mut node, now, 2, last);
    acknowledge_append(&mut node, now, 3, last - 1);
    assert!(is_durable_at(&node, last, now));
    assert!(node.propose_membership(&membership(&[1, 2, 3, 4])));
    node.on_persisted(node.last_position());
    acknowledge_append(&mut node, now, 4, last - 1);
    assert!(!is_durable_at(&node, last, now), "durable on two of four disks");
    acknowledge_append(&mut node, now, 3, last);
    assert!(is_durable_at(&node, last, now));
}
