//! Relaying the log to learners.

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

/// A node is back at its address with a new identity, and its voter still relays to the old
/// one. Messages to that are dropped, and while the snapshot is on its way it is not sent
/// again for every rejection.
#[test]
#[allow(clippy::too_many_lines, reason = "one history, step by step")]
fn sends_a_new_identity_the_snapshot_once() {
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
    let saved = PersistentState {
        hard_state: HardState { term: 4, vote: 0 },
        snapshot,
        ..Default::default()
    };
    let mut relay = RaftNode::new(2, saved, CONFIG, 0, 1);
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
    let mut node = RaftNode::new(9, PersistentState::default(), CONFIG, 0, 1);
    node.subscribe(20, 2);
    let mut installs = 0;
    for message in relay.take_ready().messages {
        installs += usize::from(message.message_type() == MessageType::InstallSnapshot);
        // Both identities have one address.
        if message.to == 8 {
            node.step(30, 2, message);
        }
    }
    let answers = node.take_ready();
    let said = |message: &Message| message.message_type() == MessageType::AppendEntriesResponse;
    assert!(
        !answers
            .messages
            .iter()
            .chain(&answers.persisted_messages)
            .any(said),
        "not meant for it"
    );
    for _ in 0..5 {
        let no = Message {
            message_type: MessageType::AppendEntriesResponse as i32,
            term: 4,
            ..Default::default()
        };
        relay.step(40, 9, no);
        let now = relay.take_ready().messages;
        installs += now
            .iter()
            .filter(|m| m.message_type() == MessageType::InstallSnapshot)
            .count();
    }
    assert_eq!(installs, 1);
    // Nor while it takes its time over a narrow link, nor once it is there.
    relay.tick(600);
    relay.step(600, 1, append(5, 4, 5, vec![]));
    let entry = Entry {
        index: 6,
        term: 4,
        entry_type: EntryType::Command as i32,
        data: vec![1],
    };
    let yes = Message {
        message_type: MessageType::AppendEntriesResponse as i32,
        term: 4,
        index: 5,
        granted: true,
        ..Default::default()
    };
    relay.step(700, 9, yes);
    relay.step(700, 1, append(5, 4, 6, vec![entry]));
    let now = relay.take_ready().messages;
    let to_it = |m: &&Message| m.to == 9;
    let sent: Vec<_> = now
        .iter()
        .filter(to_it)
        .map(|m| (m.message_type(), m.entries.len()))
        .collect();
    assert!(
        sent.iter().all(|(kind, _)| *kind == MessageType::AppendEntries),
        "{sent:?}"
    );
    assert!(sent.contains(&(MessageType::AppendEntries, 1)), "{sent:?}");
}

/// A voter is back from its disk and hears at once that more is committed than it has. A
/// learner that subscribes to it is current only once it has that too.
#[test]
fn subscriber_of_a_lagging_voter_is_not_current_before_it_has_all_committed() {
    let voter = |id| Voter {
        id,
        ..Default::default()
    };
    let saved = PersistentState {
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
    let mut relay = RaftNode::new(2, saved, CONFIG, 0, 1);
    let mut node = RaftNode::new(9, PersistentState::default(), CONFIG, 0, 1);
    relay.tick(10);
    relay.step(10, 1, append(7, 4, 7, vec![]));
    node.subscribe(10, 2);
    let pass = |from: &mut RaftNode, to: &mut RaftNode, me: u64, other: u64| {
        let ready = from.take_ready();
        for message in ready
            .messages
            .into_iter()
            .chain(ready.persisted_messages)
            .filter(|m| m.to == other)
        {
            to.step(20, me, message);
        }
    };
    for _ in 0..4 {
        pass(&mut node, &mut relay, 9, 2);
        pass(&mut relay, &mut node, 2, 9);
    }
    assert_eq!((node.commit_index(), node.is_current()), (5, false));
    let entry = |index| Entry {
        index,
        term: 4,
        entry_type: EntryType::Command as i32,
        data: vec![1],
    };
    relay.step(30, 1, append(5, 4, 7, vec![entry(6), entry(7)]));
    for _ in 0..4 {
        pass(&mut relay, &mut node, 2, 9);
        pass(&mut node, &mut relay, 9, 2);
    }
    assert_eq!((node.commit_index(), node.is_current()), (7, true));
}

/// A learner whose voters have all lost the majority asks one after the other; that it asks
/// must not look as if it had heard a leader.
#[test]
fn subscribing_is_not_hearing_the_leader() {
    let mut node = RaftNode::new(9, PersistentState::default(), CONFIG, 0, 1);
    let relayed = Message {
        leader: 1,
        ..append(0, 0, 0, vec![])
    };
    node.subscribe(10, 2);
    node.step(50, 2, relayed.clone());
    assert_eq!(node.leader_heard_at(), 50);
    for (now, voter) in [(1200, 3), (2400, 4), (3600, 2)] {
        node.subscribe(now, voter);
        assert_eq!((node.upstream().last_heard, node.leader_heard_at()), (now, 50));
    }
    node.step(3700, 2, relayed);
    assert_eq!(node.leader_heard_at(), 3700);
}
