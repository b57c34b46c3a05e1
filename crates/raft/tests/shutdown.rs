//! A voter that ends in order: its leadership, its vote, and what it alone holds.

mod cluster;

use cluster::*;
use raft::{can_shut_down, is_durable, next_membership, RaftNode};

const SIX_VOTERS: [usize; 6] = [0, 0, 1, 1, 2, 2];

fn leader(c: &Cluster) -> usize {
    let leads = |m: &Machine| m.node.as_ref().is_some_and(RaftNode::is_established_leader);
    c.machines.iter().position(leads).expect("somebody leads")
}

fn node(c: &mut Cluster, i: usize) -> &mut RaftNode {
    c.machines[i].node.as_mut().expect("it is up")
}

fn propose(c: &mut Cluster) -> u64 {
    let i = leader(c);
    node(c, i).propose(vec![1]).expect("it is taken").index
}

/// Runs until something is so; how long that took, ms.
fn until(c: &mut Cluster, most: u64, so: impl Fn(&Cluster) -> bool) -> u64 {
    let from = c.now;
    while !so(c) {
        assert!(c.now < from + most, "not within {most} ms");
        c.tick();
    }
    c.now - from
}

fn voters(c: &Cluster) -> usize {
    c.leader().map_or(0, |l| l.membership().voters.len())
}

#[test]
fn rolling_restart_keeps_the_membership() {
    let mut c = Cluster::new(&SIX_VOTERS, next_membership);
    c.changes = 0;
    for i in 0..SIX_VOTERS.len() {
        c.leave(i, true);
        let took = until(&mut c, LEAVE_MS + 500, |c| c.machines[i].node.is_none());
        println!("{i} may end after {took} ms");
        c.run(RESTART_MS + 1500);
        assert!(c.machines[i].node.is_some() && c.leader().is_some());
    }
    assert_eq!(c.changes, 0);
}

/// Nine voters tolerate a loss with one of them dead, and a dead one has time to come back;
/// six don't, and have to get rid of it.
#[test]
fn removes_a_voter_that_shut_down_sooner_than_a_silent_one() {
    let nine: &[usize] = &[0, 0, 0, 1, 1, 1, 2, 2, 2];
    let out = [
        (nine, true),
        (nine, false),
        (&SIX_VOTERS, true),
        (&SIX_VOTERS, false),
    ]
    .map(|(regions, in_order)| {
        let mut c = Cluster::new(regions, next_membership);
        let i = (leader(&c) + 1) % regions.len();
        if in_order {
            c.leave(i, false);
            until(&mut c, LEAVE_MS + 500, |c| c.machines[i].node.is_none());
        } else {
            c.end(i, true);
        }
        until(&mut c, 7000, |c| voters(c) == regions.len() - 1)
    });
    println!("out after {out:?} ms");
    let soon = TIMEOUTS.urgent_removal_ms..TIMEOUTS.urgent_removal_ms + 300;
    assert!(soon.contains(&out[0]) && out[1] > TIMEOUTS.removal_ms, "{out:?}");
    assert!(soon.contains(&out[2]) && soon.contains(&out[3]), "{out:?}");
}

/// Three voters tolerate the loss of one; a fourth in the region of one of them stands by.
#[test]
fn standby_takes_over_the_vote_before_the_voter_ends() {
    let mut c = Cluster::new(&[0, 1, 2], next_membership);
    let i = (leader(&c) + 1) % 3;
    c.add(c.machines[i].region);
    c.run(3000);
    assert_eq!(voters(&c), 3, "a fourth would make it bear less");
    c.leave(i, false);
    let id = c.machines[3].id;
    let took = until(&mut c, LEAVE_MS, |c| {
        c.leader().is_some_and(|l| l.membership().contains(id))
    });
    println!("taken over after {took} ms");
    c.run(1000);
    assert!(c.machines[i].node.is_none() && voters(&c) == 3);
}

/// What only two of three voters hold is with one of them alone once the other's disk is
/// lost. That one stays until the third holds it as well.
#[test]
fn only_holder_of_an_entry_stays_until_others_hold_it() {
    let mut c = Cluster::new(&[0, 1, 2], next_membership);
    let a = leader(&c);
    let (b, d) = ((a + 1) % 3, (a + 2) % 3);
    c.cut_links = vec![(a, d), (d, a), (b, d), (d, b)];
    let index = propose(&mut c);
    c.run(200);
    assert!(node(&mut c, a).commit_index() >= index);
    c.end(b, true);
    c.start(b);
    c.leave(a, true);
    c.run(300);
    c.cut_links = vec![(a, b), (b, a)];
    c.run(LEAVE_MS + 200);
    assert!(c.machines[a].node.is_some(), "it alone holds entry {index}");
    let took = until(&mut c, 4000, |c| c.machines[a].node.is_none());
    println!("stayed for another {took} ms");
    c.machines[a].back_at = None;
    c.run(3000);
    let now = leader(&c);
    assert!(
        node(&mut c, now).commit_index() >= index,
        "it is there without that voter"
    );
}

/// Of three voters one lost its disk a moment ago. Another that is told to end now stays
/// until the first one's new self votes: without it no two would be left.
#[test]
fn voter_needed_for_the_majority_stays() {
    let mut c = Cluster::new(&[0, 1, 2], next_membership);
    let a = leader(&c);
    let (b, d) = ((a + 1) % 3, (a + 2) % 3);
    c.end(d, true);
    c.start(d);
    c.leave(b, false);
    let took = until(&mut c, 4000, |c| c.machines[b].node.is_none());
    println!("stayed for {took} ms");
    assert!(took < GRACE_MS);
    c.run(300);
    let index = propose(&mut c);
    c.run(300);
    assert!(node(&mut c, a).commit_index() >= index, "two of three go on");
}

/// A leader whose chosen successor falls silent just then goes on by itself.
#[test]
fn failed_leadership_transfer_ends_and_proposals_resume() {
    let mut c = Cluster::new(&[0, 1, 2], next_membership);
    let a = leader(&c);
    node(&mut c, a).transfer_leadership();
    let asked = node(&mut c, a).take_ready().messages;
    let to = &asked.first().expect("somebody is asked").to;
    let b = c
        .machines
        .iter()
        .position(|m| m.id == *to)
        .expect("it is one of them");
    c.cut_links = (0..3).flat_map(|i| [(i, b), (b, i)]).collect();
    c.tick();
    assert!(node(&mut c, a).propose(vec![1]).is_none(), "on its way");
    c.run(1000);
    assert_eq!(leader(&c), a);
    assert!(
        node(&mut c, a).propose(vec![1]).is_some(),
        "it did not come to it"
    );
}

/// An acknowledgement rests on copies: what it asks for, by who is in contact.
#[test]
fn entry_is_durable_once_it_outlasts_a_tolerated_loss() {
    let mut c = Cluster::new(&SIX_VOTERS, next_membership);
    let a = leader(&c);
    let contact = TIMEOUTS.contact_ms;
    let is_durable_at = |c: &Cluster, index| {
        let l = c.machines[a].node.as_ref().expect("it is up");
        is_durable(l, index, c.now, TOLERANCE, contact)
    };
    let index = propose(&mut c);
    assert!(!is_durable_at(&c, index), "on one disk");
    c.run(200);
    assert!(is_durable_at(&c, index));
    assert!(!is_durable_at(&c, index + 1), "there is no such entry");
    // A region is lost: that is what may be lost, and proposals go on.
    let region = (c.machines[a].region + 1) % 3;
    for i in 0..6 {
        if c.machines[i].region == region {
            c.end(i, false);
        }
    }
    let index = propose(&mut c);
    c.run(200);
    assert!(is_durable_at(&c, index), "while the loss does not show yet");
    c.run(1500);
    assert!(is_durable_at(&c, index), "once it does");
    let l = c.machines[a].node.as_ref().expect("it is up");
    let others = l.membership().voters.iter().filter(|v| v.id != l.id());
    let up: Vec<bool> = others.map(|v| can_shut_down(l, v.id, c.now, contact)).collect();
    assert_eq!(
        up.iter().filter(|may| **may).count(),
        2,
        "only those that are down"
    );
}

/// Two of three voters in one region: losing it would stop the cluster, so that nothing may
/// be acknowledged, unless the third is what is lost already.
#[test]
fn nothing_is_durable_while_one_loss_takes_the_majority() {
    let mut c = Cluster::new(&[0, 0, 1], next_membership);
    let index = propose(&mut c);
    c.run(200);
    let is_durable_at = |c: &Cluster| {
        c.leader()
            .is_some_and(|l| is_durable(l, index, c.now, TOLERANCE, TIMEOUTS.contact_ms))
    };
    assert!(c.leader().is_some_and(|l| l.commit_index() >= index) && !is_durable_at(&c));
    c.end(2, false);
    c.run(3000);
    assert!(is_durable_at(&c));
}
