//! Ways to replace a lost region's voters, counted: what is left over a majority after
//! each step if the same machines are lost once more, and if, later, another region is;
//! and how long the real state machine takes.

mod cluster;

use cluster::*;
use raft::{next_membership, RaftNode};

const SIZES: [&[usize]; 5] = [
    &[0, 1, 2],
    &[0, 0, 1, 1, 2],
    &[0, 0, 1, 1, 2, 2],
    &[0, 0, 0, 1, 1, 2, 2],
    &[0, 0, 0, 1, 1, 1, 2, 2, 2],
];

/// Voters that were lost, that came in their place, and that were never lost, by region.
#[derive(Clone, Copy)]
struct Voters {
    dead: i64,
    new: i64,
    others: [i64; 2],
}

impl Voters {
    fn majority(self) -> i64 {
        (self.dead + self.new + self.others.iter().sum::<i64>()) / 2 + 1
    }
    /// Left over a majority if those that came are lost again.
    fn again(self) -> i64 {
        self.others.iter().sum::<i64>() - self.majority()
    }
    /// Left over a majority if any region of those that live is lost.
    fn later(self) -> i64 {
        let live = self.new + self.others.iter().sum::<i64>();
        let worst = self.others.into_iter().chain([self.new]).max().unwrap_or(0);
        live - worst - self.majority()
    }
}

/// Plays a way, a letter a step: the least left after any step if they are lost again,
/// and the steps until a fresh loss is borne for good.
fn run_changes(regions: &[usize], way: &str) -> (i64, usize) {
    let of = |r: usize| regions.iter().filter(|x| **x == r).count() as i64;
    let mut membership = Voters {
        dead: of(0),
        new: 0,
        others: [of(1), of(2)],
    };
    let (mut least, mut steps) = (membership.again(), 0);
    for (i, step) in way.chars().enumerate() {
        match step {
            '+' => membership.new += 1,
            _ => membership.dead -= 1,
        }
        least = least.min(membership.again());
        if membership.later() < 0 {
            steps = i + 2;
        }
    }
    (least, steps)
}

#[test]
fn removing_before_adding_never_leaves_too_few() {
    for regions in SIZES {
        let lost = regions.iter().filter(|r| **r == 0).count();
        let add = run_changes(regions, &("+".repeat(lost) + &"-".repeat(lost)));
        let remove = run_changes(regions, &("-".repeat(lost) + &"+".repeat(lost)));
        let turns = run_changes(regions, &"-+".repeat(lost));
        println!(
            "{} voters: add first {add:?}, remove first {remove:?}, in turns {turns:?}",
            regions.len()
        );
        assert!(remove.0 >= 0 && turns.0 >= 0, "never too few");
        assert!(add.0 < 0, "adding first leaves too few");
        assert!(turns.1 <= add.1, "no slower");
    }
}

/// From the loss of a region's disks until all its machines vote again and the dead do not.
#[test]
fn membership_is_repaired_before_the_next_loss_may_come() {
    for regions in SIZES {
        for led in [false, true] {
            let mut c = Cluster::new(regions, next_membership);
            let leads = |m: &Machine| m.node.as_ref().is_some_and(RaftNode::is_established_leader);
            let leader = c.machines.iter().position(leads).expect("somebody leads");
            let home = regions[leader];
            let lost = if led { home } else { (home + 1) % 3 };
            let from = c.now;
            c.changes = 0;
            for i in (0..regions.len()).filter(|i| regions[*i] == lost) {
                c.end(i, true);
                c.start(i);
            }
            let ids: Vec<u64> = c.machines.iter().map(|m| m.id).collect();
            let done = |c: &Cluster| {
                c.leader().is_some_and(|l| {
                    l.membership().voters.len() == ids.len()
                        && ids.iter().all(|id| l.membership().contains(*id))
                })
            };
            while !done(&c) && c.now < from + CATCH_UP_MS {
                c.tick();
                c.check().unwrap_or_else(|e| panic!("{e}"));
            }
            let (n, took, changes) = (regions.len(), c.now - from, c.changes);
            println!("{n} voters, leader lost {led}: {changes} changes, {took} ms");
            assert!(done(&c));
        }
    }
}
