//! Every small constellation of voters, lost voters and learners over three regions whose living
//! voters are a majority reaches a membership that takes commands, if the living machines can form
//! one.

mod cluster;

use cluster::*;
use raft::{next_membership, tolerates_faults, Membership, RaftNode, Voter};
use std::collections::BTreeSet;

/// Largest number of voters of a constellation.
const MAX_VOTERS: usize = 7;
/// Time in which one voter is replaced: it has to be found lost, and two changes follow.
const CHANGE_MS: u64 = TIMEOUTS.removal_ms + CATCH_UP_MS;

/// The number of voters, lost voters and learners in a region.
type RegionCounts = (usize, usize, usize);

fn region_counts() -> Vec<RegionCounts> {
    let mut all = Vec::new();
    for live in 0..=3 {
        for lost in 0..=2 {
            all.extend((0..=2).map(|learners| (live, lost, learners)));
        }
    }
    all
}

fn machines_of(regions: &[RegionCounts]) -> Vec<(usize, Part)> {
    let in_part = |part: Part, count: fn(&RegionCounts) -> usize| {
        let numbered = regions.iter().enumerate();
        numbered.flat_map(move |(i, counts)| std::iter::repeat_n((i, part), count(counts)))
    };
    let voters = in_part(Part::Voter, |c| c.0);
    let lost = in_part(Part::LostVoter, |c| c.1);
    let learners = in_part(Part::Learner, |c| c.2);
    voters.chain(lost).chain(learners).collect()
}

/// Returns whether any subset of these machines tolerates the losses of the tolerance.
fn can_tolerate(machines: &[Voter]) -> bool {
    (1u32..1 << machines.len()).any(|subset| {
        let chosen = machines.iter().enumerate().filter(|(i, _)| subset & 1 << i != 0);
        let voters = chosen.map(|(_, voter)| voter.clone()).collect();
        let membership = Membership {
            voters,
            ..Default::default()
        };
        tolerates_faults(&membership, TOLERANCE)
    })
}

fn takes_commands(leader: &RaftNode) -> bool {
    tolerates_faults(leader.membership(), TOLERANCE)
}

/// Runs a constellation. Returns an error if it does not come to take commands and acknowledge
/// one in the time that it has.
fn check_constellation(regions: &[RegionCounts]) -> Result<(), String> {
    let machines = machines_of(regions);
    let mut cluster = Cluster::of_machines(&machines, next_membership);
    let lost = machines.iter().filter(|m| m.1 == Part::LostVoter).count() as u64;
    let end = cluster.now + CATCH_UP_MS + (lost + 1) * CHANGE_MS;
    while cluster.now < end && !cluster.leader().is_some_and(takes_commands) {
        cluster.tick();
    }
    // The membership that takes commands stays one that takes commands.
    cluster.run(CATCH_UP_MS);
    let voters_of = |node: &RaftNode| -> Vec<u64> { node.membership().voters.iter().map(|v| v.id).collect() };
    let nodes = cluster.machines.iter_mut().filter_map(|m| m.node.as_mut());
    let leader = nodes
        .filter(|node| node.is_established_leader())
        .max_by_key(|n| n.term());
    let leader = leader.ok_or("there is no leader")?;
    if !takes_commands(leader) {
        return Err(format!("the voters stay at {:?}", voters_of(leader)));
    }
    let command = leader.propose(vec![7]).ok_or("no command is proposed")?;
    cluster.pending.push((command.index, command.term, cluster.now));
    cluster.run(MAX_ACKNOWLEDGE_MS);
    if cluster.acknowledged.is_empty() {
        return Err("a command is not acknowledged".into());
    }
    Ok(())
}

/// Guards against a core that takes no more commands although its living machines could form one
/// that does: the better membership is several changes away (Acks; review case 9).
#[test]
fn every_small_constellation_reaches_a_membership_that_takes_commands() {
    let all = region_counts();
    let (mut checked, mut failures) = (0, Vec::new());
    let mut seen = BTreeSet::new();
    for a in &all {
        for b in &all {
            for c in &all {
                let mut regions = [*a, *b, *c];
                regions.sort_unstable();
                let live: usize = regions.iter().map(|r| r.0).sum();
                let voters = live + regions.iter().map(|r| r.1).sum::<usize>();
                let has_majority = live > voters / 2;
                if !has_majority || !(3..=MAX_VOTERS).contains(&voters) || !seen.insert(regions) {
                    continue;
                }
                let machines = machines_of(&regions);
                let cluster = Cluster::of_machines(&machines, next_membership);
                let is_running = |i: &usize| cluster.is_running(*i);
                let living: Vec<Voter> = (0..machines.len())
                    .filter(is_running)
                    .map(|i| cluster.voter(i))
                    .collect();
                if !can_tolerate(&living) {
                    continue;
                }
                checked += 1;
                if let Err(error) = check_constellation(&regions) {
                    failures.push(format!("(voters, lost, learners) by region {regions:?}: {error}"));
                }
            }
        }
    }
    println!("{checked} constellations");
    assert!(checked > 200, "{checked} constellations");
    assert!(
        failures.is_empty(),
        "{} of {checked}:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
