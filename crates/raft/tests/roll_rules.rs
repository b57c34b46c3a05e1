//! What a leader may propose about the roll, and when a newcomer counts.

mod cluster;

use cluster::{LOSSES, PATIENCE, TIMING};
use raft::*;

fn voter(id: u64) -> Voter {
    Voter {
        id,
        address: format!("at-{id}"),
        zone: format!("z{id}"),
        region: format!("r{id}"),
    }
}

fn roll(ids: &[u64]) -> Membership {
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
        roll: Some(roll(&[1, 2, 3])),
        data: Vec::new(),
    };
    let saved = PersistentState {
        term: 3,
        snapshot,
        ..Default::default()
    };
    let mut me = RaftNode::new(1, saved, TIMING, *now, 1);
    for kind in [MessageType::PreVoteResponse, MessageType::VoteResponse] {
        while !matches!(me.role(), Role::PreCandidate | Role::Candidate) {
            *now += 50;
            me.tick(*now);
        }
        let yes = Message {
            kind: kind as i32,
            term: 4,
            yes: true,
            ..Default::default()
        };
        me.receive(*now, 2, yes);
    }
    assert!(me.is_leader());
    me.persisted(me.last_index(), me.term());
    me
}

fn appended(me: &mut RaftNode, now: u64, from: u64, index: u64) {
    let message = Message {
        kind: MessageType::AppendEntriesResponse as i32,
        term: me.term(),
        index,
        yes: true,
        round: 1,
        ..Default::default()
    };
    me.receive(now, from, message);
    me.persisted(me.last_index(), me.term());
}

#[test]
fn a_roll_is_proposed_after_an_entry_of_the_own_term_and_one_at_a_time() {
    let mut now = 1000;
    let mut me = elected(&mut now);
    assert!(
        !me.propose_roll(roll(&[1, 2, 3, 4])),
        "nothing of its term is committed"
    );
    let last = me.last_index();
    appended(&mut me, now, 2, last);
    assert!(me.is_settled());
    assert!(!me.propose_roll(roll(&[1, 2, 3, 4, 5])), "two at once");
    assert!(!me.propose_roll(roll(&[1, 2, 4])), "one for another is two");
    assert!(!me.propose_roll(roll(&[])));
    assert!(me.propose_roll(roll(&[1, 2, 3, 4])));
    me.persisted(me.last_index(), me.term());
    assert!(!me.propose_roll(roll(&[1, 2, 3])), "one is under way");
    let last = me.last_index();
    appended(&mut me, now, 2, last);
    assert!(me.roll_pending(), "two of four are no majority");
    appended(&mut me, now, 3, last);
    assert!(!me.roll_pending() && me.propose_roll(roll(&[1, 2, 3])));
}

#[test]
fn a_newcomer_counts_by_what_it_says_is_on_its_disk() {
    let mut now = 1000;
    let mut me = elected(&mut now);
    let last = me.last_index();
    appended(&mut me, now, 2, last);
    appended(&mut me, now, 3, last);
    let seen = [PeerObservation {
        voter: voter(4),
        disk: true,
        alive: true,
    }];
    now += 100;
    me.tick(now);
    me.set_observers(&[2, 3, 4].into());
    let sent = me.take_effects().now;
    let install = sent
        .into_iter()
        .find(|(to, c)| *to == 4 && c.kind() == MessageType::InstallSnapshot);
    let next = |me: &RaftNode, now| next_roll(me, now, &seen, LOSSES, PATIENCE);
    let mut newcomer = RaftNode::new(4, PersistentState::default(), TIMING, now, 4);
    newcomer.receive(now, 1, install.expect("a snapshot").1);
    let lacks = Message {
        kind: MessageType::AppendEntriesResponse as i32,
        term: 4,
        round: 1,
        ..Default::default()
    };
    me.receive(now, 4, lacks);
    assert_eq!(next(&me, now), None, "sent is not held");
    let effects = newcomer.take_effects();
    assert!(
        effects.write.snapshot.is_some() && effects.now.is_empty(),
        "not before the disk has it"
    );
    // Four voters bear no more than three; of four regions one may be lost.
    for (_, message) in effects.after {
        me.receive(now, 4, message);
    }
    let behind = me.progress(4).map(|p| p.matched);
    assert_eq!(behind, Some(5));
    assert!(next(&me, now).is_some_and(|r| r.has(4)));
}

/// An entry that stood on two of three disks stands on too few once a fourth votes, until
/// one more has it.
#[test]
fn an_acknowledgement_counts_the_disks_of_the_roll_in_force() {
    let mut now = 1000;
    let mut me = elected(&mut now);
    let bears = |me: &RaftNode, index, now| bears_loss(me, index, now, LOSSES, PATIENCE.contact);
    let last = me.last_index();
    assert!(!bears(&me, last, now), "not committed");
    appended(&mut me, now, 2, last);
    appended(&mut me, now, 3, last - 1);
    assert!(bears(&me, last, now));
    assert!(me.propose_roll(roll(&[1, 2, 3, 4])));
    me.persisted(me.last_index(), me.term());
    appended(&mut me, now, 4, last - 1);
    assert!(!bears(&me, last, now), "two of four");
    appended(&mut me, now, 3, last);
    assert!(bears(&me, last, now));
}
