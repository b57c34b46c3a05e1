//! Orders in which a lost region's voters can be replaced. Computes how many voters beyond a
//! majority are left after each step if the same machines are lost again, and if another
//! region is lost later; and measures how long the real state machine takes.

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

/// Number of voters that were lost, that replace them, and that were never lost, the latter by
/// region.
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
    /// Returns the margin over a majority if the replacements are lost again.
    fn margin_if_lost_again(self) -> i64 {
        self.others.iter().sum::<i64>() - self.majority()
    }
    /// Returns the margin over a majority if any region of the live voters is lost.
    fn margin_for_later_loss(self) -> i64 {
        let live = self.new + self.others.iter().sum::<i64>();
        let worst = self.others.into_iter().chain([self.new]).max().unwrap_or(0);
        live - worst - self.majority()
    }
}

/// Runs a sequence of changes, one character per step: `+` adds a replacement, any other
/// character removes a dead voter. Returns the smallest margin after any step if the
/// replacements are lost again, and the number of steps until a separate loss is tolerated
/// from then on.
fn run_changes(regions: &[usize], sequence: &str) -> (i64, usize) {
    let count_in_region = |r: usize| regions.iter().filter(|x| **x == r).count() as i64;
    let mut membership = Voters {
        dead: count_in_region(0),
        new: 0,
        others: [count_in_region(1), count_in_region(2)],
    };
    let (mut min_margin, mut steps) = (membership.margin_if_lost_again(), 0);
    for (i, step) in sequence.chars().enumerate() {
        match step {
            '+' => membership.new += 1,
            _ => membership.dead -= 1,
        }
        min_margin = min_margin.min(membership.margin_if_lost_again());
        if membership.margin_for_later_loss() < 0 {
            steps = i + 2;
        }
    }
    (min_margin, steps)
}

#[test]
fn removing_before_adding_never_leaves_too_few_voters() {
    for regions in SIZES {
        let lost_voters = regions.iter().filter(|r| **r == 0).count();
        let add_first = run_changes(regions, &("+".repeat(lost_voters) + &"-".repeat(lost_voters)));
        let remove_first = run_changes(regions, &("-".repeat(lost_voters) + &"+".repeat(lost_voters)));
        let alternating = run_changes(regions, &"-+".repeat(lost_voters));
        println!(
            "{} voters: add first {add_first:?}, remove first {remove_first:?}, alternating {alternating:?}",
            regions.len()
        );
        assert!(remove_first.0 >= 0 && alternating.0 >= 0, "too few voters left");
        assert!(add_first.0 < 0, "adding first left enough voters");
        assert!(
            alternating.1 <= add_first.1,
            "alternating takes more steps than adding first"
        );
    }
}

/// Runs from the loss of a region's disks until all its machines are voters again and their
/// dead identities are not.
#[test]
fn membership_is_repaired_before_the_next_loss_may_happen() {
    for regions in SIZES {
        for leader_is_lost in [false, true] {
            let mut cluster = Cluster::new(regions, next_membership);
            let is_leader = |m: &Machine| m.node.as_ref().is_some_and(RaftNode::is_established_leader);
            let leader = cluster
                .machines
                .iter()
                .position(is_leader)
                .expect("no established leader");
            let leader_region = regions[leader];
            let lost_region = if leader_is_lost {
                leader_region
            } else {
                (leader_region + 1) % 3
            };
            let started_at = cluster.now;
            cluster.changes = 0;
            for i in (0..regions.len()).filter(|i| regions[*i] == lost_region) {
                cluster.stop(i, true);
                cluster.start(i);
            }
            let ids: Vec<u64> = cluster.machines.iter().map(|m| m.id).collect();
            let is_repaired = |cluster: &Cluster| {
                cluster.leader().is_some_and(|leader_node| {
                    leader_node.membership().voters.len() == ids.len()
                        && ids.iter().all(|id| leader_node.membership().contains(*id))
                })
            };
            while !is_repaired(&cluster) && cluster.now < started_at + CATCH_UP_MS {
                cluster.tick();
                cluster.check().unwrap_or_else(|e| panic!("{e}"));
            }
            let (voter_count, elapsed_ms, changes) =
                (regions.len(), cluster.now - started_at, cluster.changes);
            println!(
                "{voter_count} voters, leader lost {leader_is_lost}: {changes} changes, {elapsed_ms} ms"
            );
            assert!(is_repaired(&cluster));
        }
    }
}
