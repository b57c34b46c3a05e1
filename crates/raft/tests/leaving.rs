//! A voter that ends in order: its leadership, its vote, and what it alone holds.

mod cluster;

use cluster::*;
use raft::{bears_loss, may_end, next_roll, RaftNode};

const SIX: [usize; 6] = [0, 0, 1, 1, 2, 2];

fn leader(c: &Cluster) -> usize {
    let leads = |m: &Machine| m.life.as_ref().is_some_and(RaftNode::is_settled);
    c.machines.iter().position(leads).expect("somebody leads")
}

fn life(c: &mut Cluster, i: usize) -> &mut RaftNode {
    c.machines[i].life.as_mut().expect("it is up")
}

fn order(c: &mut Cluster) -> u64 {
    let i = leader(c);
    life(c, i).propose(vec![1]).expect("it is taken").0
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
    c.leader().map_or(0, |l| l.roll().voters.len())
}

#[test]
fn restarts_one_after_the_other_cost_no_change_of_the_roll() {
    let mut c = Cluster::new(&SIX, next_roll);
    c.changes = 0;
    for i in 0..SIX.len() {
        c.leave(i, true);
        let took = until(&mut c, LEAVE_MS + 500, |c| c.machines[i].life.is_none());
        println!("{i} may end after {took} ms");
        c.run(RESTART_MS + 1500);
        assert!(c.machines[i].life.is_some() && c.leader().is_some());
    }
    assert_eq!(c.changes, 0);
}

/// Nine voters bear a loss with one of them dead, and a dead one has time to come back;
/// six don't, and have to get rid of it.
#[test]
fn a_voter_that_left_is_out_of_the_roll_before_one_that_fell_silent() {
    let nine: &[usize] = &[0, 0, 0, 1, 1, 1, 2, 2, 2];
    let out = [(nine, true), (nine, false), (&SIX, true), (&SIX, false)].map(|(regions, in_order)| {
        let mut c = Cluster::new(regions, next_roll);
        let i = (leader(&c) + 1) % regions.len();
        if in_order {
            c.leave(i, false);
            until(&mut c, LEAVE_MS + 500, |c| c.machines[i].life.is_none());
        } else {
            c.end(i, true);
        }
        until(&mut c, 7000, |c| voters(c) == regions.len() - 1)
    });
    println!("out after {out:?} ms");
    let soon = PATIENCE.left..PATIENCE.left + 300;
    assert!(soon.contains(&out[0]) && out[1] > PATIENCE.gone, "{out:?}");
    assert!(soon.contains(&out[2]) && soon.contains(&out[3]), "{out:?}");
}

/// Three voters bear the loss of one; a fourth in the region of one of them stands by.
#[test]
fn whoever_stands_by_takes_the_vote_over_before_the_leaver_ends() {
    let mut c = Cluster::new(&[0, 1, 2], next_roll);
    let i = (leader(&c) + 1) % 3;
    c.add(c.machines[i].region);
    c.run(3000);
    assert_eq!(voters(&c), 3, "a fourth would make it bear less");
    c.leave(i, false);
    let id = c.machines[3].id;
    let took = until(&mut c, LEAVE_MS, |c| c.leader().is_some_and(|l| l.roll().has(id)));
    println!("taken over after {took} ms");
    c.run(1000);
    assert!(c.machines[i].life.is_none() && voters(&c) == 3);
}

/// What only two of three voters hold is with one of them alone once the other's disk is
/// lost. That one stays until the third holds it as well.
#[test]
fn the_only_holder_stays_until_others_hold_what_it_does() {
    let mut c = Cluster::new(&[0, 1, 2], next_roll);
    let a = leader(&c);
    let (b, d) = ((a + 1) % 3, (a + 2) % 3);
    c.cuts = vec![(a, d), (d, a), (b, d), (d, b)];
    let index = order(&mut c);
    c.run(200);
    assert!(life(&mut c, a).commit() >= index);
    c.end(b, true);
    c.start(b);
    c.leave(a, true);
    c.run(300);
    c.cuts = vec![(a, b), (b, a)];
    c.run(LEAVE_MS + 200);
    assert!(c.machines[a].life.is_some(), "it alone holds entry {index}");
    let took = until(&mut c, 4000, |c| c.machines[a].life.is_none());
    println!("stayed for another {took} ms");
    c.machines[a].back_at = None;
    c.run(3000);
    let now = leader(&c);
    assert!(
        life(&mut c, now).commit() >= index,
        "it is there without that voter"
    );
}

/// Of three voters one lost its disk a moment ago. Another that is told to end now stays
/// until the first one's new self votes: without it no two would be left.
#[test]
fn a_voter_that_makes_the_majority_stays_until_it_does_not() {
    let mut c = Cluster::new(&[0, 1, 2], next_roll);
    let a = leader(&c);
    let (b, d) = ((a + 1) % 3, (a + 2) % 3);
    c.end(d, true);
    c.start(d);
    c.leave(b, false);
    let took = until(&mut c, 4000, |c| c.machines[b].life.is_none());
    println!("stayed for {took} ms");
    assert!(took < GRACE_MS);
    c.run(300);
    let index = order(&mut c);
    c.run(300);
    assert!(life(&mut c, a).commit() >= index, "two of three go on");
}

/// A leader whose chosen successor falls silent just then goes on by itself.
#[test]
fn a_leader_that_finds_no_successor_takes_orders_again() {
    let mut c = Cluster::new(&[0, 1, 2], next_roll);
    let a = leader(&c);
    life(&mut c, a).hand_over();
    let asked = life(&mut c, a).take_effects().now;
    let (to, _) = asked.first().expect("somebody is asked");
    let b = c
        .machines
        .iter()
        .position(|m| m.id == *to)
        .expect("it is one of them");
    c.cuts = (0..3).flat_map(|i| [(i, b), (b, i)]).collect();
    c.tick();
    assert!(life(&mut c, a).propose(vec![1]).is_none(), "on its way");
    c.run(1000);
    assert_eq!(leader(&c), a);
    assert!(
        life(&mut c, a).propose(vec![1]).is_some(),
        "it did not come to it"
    );
}

/// An acknowledgement rests on copies: what it asks for, by who is in contact.
#[test]
fn what_bears_a_loss() {
    let mut c = Cluster::new(&SIX, next_roll);
    let a = leader(&c);
    let contact = PATIENCE.contact;
    let bears = |c: &Cluster, index| {
        let l = c.machines[a].life.as_ref().expect("it is up");
        bears_loss(l, index, c.now, LOSSES, contact)
    };
    let index = order(&mut c);
    assert!(!bears(&c, index), "on one disk");
    c.run(200);
    assert!(bears(&c, index));
    assert!(!bears(&c, index + 1), "there is no such entry");
    // A region is lost: that is what may be lost, and orders go on.
    let region = (c.machines[a].region + 1) % 3;
    for i in 0..6 {
        if c.machines[i].region == region {
            c.end(i, false);
        }
    }
    let index = order(&mut c);
    c.run(200);
    assert!(bears(&c, index), "while the loss does not show yet");
    c.run(1500);
    assert!(bears(&c, index), "once it does");
    let l = c.machines[a].life.as_ref().expect("it is up");
    let others = l.roll().voters.iter().filter(|v| v.id != l.id());
    let up: Vec<bool> = others.map(|v| may_end(l, v.id, c.now, contact)).collect();
    assert_eq!(
        up.iter().filter(|may| **may).count(),
        2,
        "only those that are down"
    );
}

/// Two of three voters in one region: losing it would stop the core, so that nothing may
/// be acknowledged, unless the third is what is lost already.
#[test]
fn what_bears_no_loss() {
    let mut c = Cluster::new(&[0, 0, 1], next_roll);
    let index = order(&mut c);
    c.run(200);
    let bears = |c: &Cluster| {
        c.leader()
            .is_some_and(|l| bears_loss(l, index, c.now, LOSSES, PATIENCE.contact))
    };
    assert!(c.leader().is_some_and(|l| l.commit() >= index) && !bears(&c));
    c.end(2, false);
    c.run(3000);
    assert!(bears(&c));
}
