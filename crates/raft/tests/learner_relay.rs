//! Relaying of the log to learners.

mod cluster;

use raft::*;

const CONFIG: Config = Config {
    retained_bytes: 1 << 14,
    ..cluster::CONFIG
};

fn append(index: u64, log_term: u64, commit: u64, entries: Vec<Entry>) -> Message {
    Message {
        message_type: MessageType::AppendEntries as i32,
        term: 4,
        index,
        log_term,
        commit,
        entries,
        ..Default::default()
    }
}

/// A node has restarted at its address with a new identity, and its voter still relays to the
/// old one. Messages for the old identity must be dropped, and while the snapshot for the new
/// one is in transit it must not be resent for every rejection.
#[test]
#[allow(clippy::too_many_lines, reason = "one sequence of events, step by step")]
fn new_identity_is_sent_the_snapshot_once() {
    let snapshot = Snapshot {
        index: 5,
        term: 4,
        membership: Some(Membership {
            voters: vec![
                Voter {
                    id: 2,
                    ..Default::default()
                },
                Voter {
                    id: 1,
                    ..Default::default()
                },
            ],
            ..Default::default()
        }),
        data: vec![],
    };
    let persisted_state = PersistentState {
        hard_state: HardState { term: 4, vote: 0 },
        snapshot,
        ..Default::default()
    };
    let mut relay = RaftNode::new(2, persisted_state, CONFIG, 0, 1);
    relay.tick(10);
    relay.step(10, 1, append(5, 4, 5, vec![]));
    relay.take_ready();
    let subscribe = |index| Message {
        message_type: MessageType::Subscribe as i32,
        term: 4,
        index,
        ..Default::default()
    };
    relay.step(20, 8, subscribe(5));
    relay.step(20, 9, subscribe(0));
    let mut learner = RaftNode::new(9, PersistentState::default(), CONFIG, 0, 1);
    learner.subscribe(20, 2);
    let mut snapshots_sent = 0;
    for message in relay.take_ready().messages {
        snapshots_sent += usize::from(message.message_type() == MessageType::InstallSnapshot);
        // Both identities have the same address.
        if message.to == 8 {
            learner.step(30, 2, message);
        }
    }
    let responses = learner.take_ready();
    let is_append_response = |message: &Message| message.message_type() == MessageType::AppendEntriesResponse;
    assert!(
        !responses
            .messages
            .iter()
            .chain(&responses.persisted_messages)
            .any(is_append_response),
        "answered a message for another identity"
    );
    for _ in 0..5 {
        let rejection = Message {
            message_type: MessageType::AppendEntriesResponse as i32,
            term: 4,
            ..Default::default()
        };
        relay.step(40, 9, rejection);
        let messages = relay.take_ready().messages;
        snapshots_sent += messages
            .iter()
            .filter(|m| m.message_type() == MessageType::InstallSnapshot)
            .count();
    }
    assert_eq!(snapshots_sent, 1);
    // The snapshot is not resent while it is in transit over a narrow link, nor after it has
    // arrived.
    relay.tick(600);
    relay.step(600, 1, append(5, 4, 5, vec![]));
    let entry = Entry {
        index: 6,
        term: 4,
        entry_type: EntryType::Command as i32,
        data: vec![1],
    };
    let confirmation = Message {
        message_type: MessageType::AppendEntriesResponse as i32,
        term: 4,
        index: 5,
        granted: true,
        ..Default::default()
    };
    relay.step(700, 9, confirmation);
    relay.step(700, 1, append(5, 4, 6, vec![entry]));
    let messages = relay.take_ready().messages;
    let is_for_learner = |m: &&Message| m.to == 9;
    let sent: Vec<_> = messages
        .iter()
        .filter(is_for_learner)
        .map(|m| (m.message_type(), m.entries.len()))
        .collect();
    assert!(
        sent.iter()
            .all(|(message_type, _)| *message_type == MessageType::AppendEntries),
        "{sent:?}"
    );
    assert!(sent.contains(&(MessageType::AppendEntries, 1)), "{sent:?}");
}

/// A voter has restarted from its disk and immediately learns that more is committed than it
/// has. A learner that subscribes to it must be current only once it has those entries too.
#[test]
fn subscriber_of_a_lagging_voter_is_not_current_before_it_has_all_committed() {
    let voter = |id| Voter {
        id,
        ..Default::default()
    };
    let persisted_state = PersistentState {
        hard_state: HardState { term: 4, vote: 0 },
        snapshot: Snapshot {
            index: 5,
            term: 4,
            membership: Some(Membership {
                voters: vec![voter(1), voter(2)],
                ..Default::default()
            }),
            data: vec![],
        },
        ..Default::default()
    };
    let mut relay = RaftNode::new(2, persisted_state, CONFIG, 0, 1);
    let mut learner = RaftNode::new(9, PersistentState::default(), CONFIG, 0, 1);
    relay.tick(10);
    relay.step(10, 1, append(7, 4, 7, vec![]));
    learner.subscribe(10, 2);
    let deliver = |sender: &mut RaftNode, receiver: &mut RaftNode, sender_id: u64, receiver_id: u64| {
        let ready = sender.take_ready();
        for message in ready
            .messages
            .into_iter()
            .chain(ready.persisted_messages)
            .filter(|m| m.to == receiver_id)
        {
            receiver.step(20, sender_id, message);
        }
    };
    for _ in 0..4 {
        deliver(&mut learner, &mut relay, 9, 2);
        deliver(&mut relay, &mut learner, 2, 9);
    }
    assert_eq!((learner.commit_index(), learner.is_current()), (5, false));
    let entry = |index| Entry {
        index,
        term: 4,
        entry_type: EntryType::Command as i32,
        data: vec![1],
    };
    relay.step(30, 1, append(5, 4, 7, vec![entry(6), entry(7)]));
    for _ in 0..4 {
        deliver(&mut relay, &mut learner, 2, 9);
        deliver(&mut learner, &mut relay, 9, 2);
    }
    assert_eq!((learner.commit_index(), learner.is_current()), (7, true));
}

/// A learner whose voters have all lost the majority subscribes to one after the other.
/// Subscribing must not count as having heard from a leader.
#[test]
fn subscribing_does_not_count_as_contact_with_the_leader() {
    let mut learner = RaftNode::new(9, PersistentState::default(), CONFIG, 0, 1);
    let relayed = Message {
        leader: 1,
        ..append(0, 0, 0, vec![])
    };
    learner.subscribe(10, 2);
    learner.step(50, 2, relayed.clone());
    assert_eq!(learner.leader_heard_at(), 50);
    for (time_ms, voter) in [(1200, 3), (2400, 4), (3600, 2)] {
        learner.subscribe(time_ms, voter);
        assert_eq!(
            (learner.upstream().last_heard, learner.leader_heard_at()),
            (time_ms, 50)
        );
    }
    learner.step(3700, 2, relayed);
    assert_eq!(learner.leader_heard_at(), 3700);
}
