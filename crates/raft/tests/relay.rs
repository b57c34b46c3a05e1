//! Passing the log on to nodes that do not vote.

use raft::*;

const TIMING: Config = Config {
    heartbeat: 100,
    observer_heartbeat: 400,
    election_min: 450,
    election_spread: 300,
    lease: 260,
    resend: 400,
    snapshot_resend: 1000,
    follower_gone: 3000,
    append_bytes: 1 << 20,
    tail_bytes: 1 << 14,
};

fn append(index: u64, log_term: u64, commit: u64, entries: Vec<Entry>) -> Message {
    Message {
        kind: MessageType::AppendEntries as i32,
        term: 4,
        index,
        log_term,
        commit,
        entries,
        ..Default::default()
    }
}

/// A node is back at its address as somebody new, and its voter still feeds the
/// old life. Its words to that life are passed over, and while the state is on
/// its way it is not sent again for every no.
#[test]
fn a_new_life_is_sent_the_state_once_whatever_the_old_one_is_sent() {
    let snapshot = Snapshot {
        index: 5,
        term: 4,
        roll: Some(Membership {
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
        term: 4,
        snapshot,
        ..Default::default()
    };
    let mut relay = RaftNode::new(2, saved, TIMING, 0, 1);
    relay.tick(10);
    relay.receive(10, 1, append(5, 4, 5, vec![]));
    relay.take_effects();
    let follow = |index| Message {
        kind: MessageType::Subscribe as i32,
        term: 4,
        index,
        ..Default::default()
    };
    relay.receive(20, 8, follow(5));
    relay.receive(20, 9, follow(0));
    let mut node = RaftNode::new(9, PersistentState::default(), TIMING, 0, 1);
    node.follow(20, 2);
    let mut installs = 0;
    for (to, message) in relay.take_effects().now {
        installs += usize::from(message.kind() == MessageType::InstallSnapshot);
        // Both lives have one address.
        if to == 8 {
            node.receive(30, 2, message);
        }
    }
    let answers = node.take_effects();
    let said = |(_, message): &(u64, Message)| message.kind() == MessageType::AppendEntriesResponse;
    assert!(
        !answers.now.iter().chain(&answers.after).any(said),
        "not meant for it"
    );
    for _ in 0..5 {
        let no = Message {
            kind: MessageType::AppendEntriesResponse as i32,
            term: 4,
            ..Default::default()
        };
        relay.receive(40, 9, no);
        let now = relay.take_effects().now;
        installs += now
            .iter()
            .filter(|(_, c)| c.kind() == MessageType::InstallSnapshot)
            .count();
    }
    assert_eq!(installs, 1);
    // Nor while it takes its time over a narrow link, nor once it is there.
    relay.tick(600);
    relay.receive(600, 1, append(5, 4, 5, vec![]));
    let entry = Entry {
        index: 6,
        term: 4,
        kind: EntryType::Command as i32,
        data: vec![1],
    };
    let yes = Message {
        kind: MessageType::AppendEntriesResponse as i32,
        term: 4,
        index: 5,
        yes: true,
        ..Default::default()
    };
    relay.receive(700, 9, yes);
    relay.receive(700, 1, append(5, 4, 6, vec![entry]));
    let now = relay.take_effects().now;
    let to_it = |(to, _): &&(u64, Message)| *to == 9;
    let sent: Vec<_> = now
        .iter()
        .filter(to_it)
        .map(|(_, c)| (c.kind(), c.entries.len()))
        .collect();
    assert!(
        sent.iter().all(|(kind, _)| *kind == MessageType::AppendEntries),
        "{sent:?}"
    );
    assert!(sent.contains(&(MessageType::AppendEntries, 1)), "{sent:?}");
}

/// A voter is back from its disk and hears at once that more is committed
/// than it has. A node that follows it is current only once it has that too.
#[test]
fn who_follows_a_voter_that_lags_is_not_current_before_it_has_what_is_committed() {
    let voter = |id| Voter {
        id,
        ..Default::default()
    };
    let saved = PersistentState {
        term: 4,
        snapshot: Snapshot {
            index: 5,
            term: 4,
            roll: Some(Membership {
                voters: vec![voter(1), voter(2)],
                ..Default::default()
            }),
            data: vec![],
        },
        ..Default::default()
    };
    let mut relay = RaftNode::new(2, saved, TIMING, 0, 1);
    let mut node = RaftNode::new(9, PersistentState::default(), TIMING, 0, 1);
    relay.tick(10);
    relay.receive(10, 1, append(7, 4, 7, vec![]));
    node.follow(10, 2);
    let pass = |from: &mut RaftNode, to: &mut RaftNode, me: u64, other: u64| {
        let effects = from.take_effects();
        for (_, message) in effects
            .now
            .into_iter()
            .chain(effects.after)
            .filter(|(id, _)| *id == other)
        {
            to.receive(20, me, message);
        }
    };
    for _ in 0..4 {
        pass(&mut node, &mut relay, 9, 2);
        pass(&mut relay, &mut node, 2, 9);
    }
    assert_eq!((node.commit(), node.is_current()), (5, false));
    let entry = |index| Entry {
        index,
        term: 4,
        kind: EntryType::Command as i32,
        data: vec![1],
    };
    relay.receive(30, 1, append(5, 4, 7, vec![entry(6), entry(7)]));
    for _ in 0..4 {
        pass(&mut relay, &mut node, 2, 9);
        pass(&mut node, &mut relay, 9, 2);
    }
    assert_eq!((node.commit(), node.is_current()), (7, true));
}

/// A node whose voters have all lost the core asks one after the other; that
/// it asks must not look as if it had heard.
#[test]
fn asking_another_voter_is_not_hearing_the_core() {
    let mut node = RaftNode::new(9, PersistentState::default(), TIMING, 0, 1);
    let passed_on = Message {
        leader: 1,
        ..append(0, 0, 0, vec![])
    };
    node.follow(10, 2);
    node.receive(50, 2, passed_on.clone());
    assert_eq!(node.heard_at(), 50);
    for (now, voter) in [(1200, 3), (2400, 4), (3600, 2)] {
        node.follow(now, voter);
        assert_eq!((node.feed().1, node.heard_at()), (now, 50));
    }
    node.receive(3700, 2, passed_on);
    assert_eq!(node.heard_at(), 3700);
}
