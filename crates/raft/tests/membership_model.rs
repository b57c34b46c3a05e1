//! Model check of membership planning: explores every short history of losses, wipes, returns,
//! replacements, restarts, shutdowns and proposals over small clusters of the real state
//! machine. Each loss stays within the fault tolerance.
//!
//! At every moment, and for every further tolerated loss, a node that holds every acknowledged
//! entry can be elected, and no node that lacks one can.

mod cluster;

use cluster::*;
use raft::{
    next_membership, tolerates_faults, FaultTolerance, Membership, PeerObservation, RaftNode, VoterTimeouts,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Propose,
    /// The disk is lost; the machine starts again immediately.
    Wipe(usize),
    WipeRegion(usize),
    /// The machine loses power; the disk is kept.
    LosePower(usize),
    /// The machine is isolated from all others in both directions.
    Isolate(usize),
    /// All machines that are down or isolated return.
    ReturnAll,
    /// The process stops and starts again immediately.
    Restart(usize),
    /// The machine is permanently lost; a new machine at another address joins its region.
    Replace(usize),
    /// The process shuts down gracefully and starts again.
    ShutDownAndReturn(usize),
    /// The process shuts down gracefully and permanently; a new machine joins its region.
    ShutDownAndReplace(usize),
    Wait(u64),
}

/// Returns whether a machine is running and has not been told to shut down.
fn is_active(cluster: &Cluster, i: usize) -> bool {
    cluster.is_running(i) && cluster.machines[i].shutdown.is_none()
}

/// Applies a step. Returns `false` if the step is not possible now.
fn apply_step(cluster: &mut Cluster, step: Step) -> Result<bool, String> {
    match step {
        Step::Propose => {
            let nodes = cluster.machines.iter_mut().filter_map(|m| m.node.as_mut());
            let Some(leader) = nodes
                .filter(|node| node.is_established_leader())
                .max_by_key(|node| node.term())
            else {
                return Ok(false);
            };
            let now = cluster.now;
            let position = leader.propose(vec![7]);
            cluster.pending.extend(position.map(|p| (p.index, p.term, now)));
        }
        Step::Wipe(i) if is_active(cluster, i) && cluster.tolerates_loss(&[i]) => {
            cluster.stop(i, true);
            cluster.start(i);
        }
        Step::WipeRegion(region) => {
            let all: Vec<usize> = (0..cluster.machines.len())
                .filter(|i| cluster.machines[*i].region == region && !cluster.machines[*i].removed)
                .collect();
            if !cluster.tolerates_loss(&all) || all.iter().any(|i| cluster.machines[*i].shutdown.is_some()) {
                return Ok(false);
            }
            for i in all {
                cluster.stop(i, true);
                cluster.start(i);
            }
        }
        Step::LosePower(i) if is_active(cluster, i) && cluster.tolerates_loss(&[i]) => cluster.stop(i, false),
        Step::ReturnAll => {
            let down: Vec<usize> = (0..cluster.machines.len())
                .filter(|i| {
                    let m = &cluster.machines[*i];
                    m.node.is_none() && !m.removed && m.restart_at.is_none()
                })
                .collect();
            if down.is_empty() && cluster.cut_links.is_empty() {
                return Ok(false);
            }
            cluster.heal();
            for i in down {
                cluster.start(i);
            }
        }
        Step::Isolate(i) if is_active(cluster, i) && cluster.tolerates_loss(&[i]) => cluster.isolate(i),
        Step::Restart(i) if is_active(cluster, i) && cluster.tolerates_loss(&[i]) => {
            cluster.stop(i, false);
            cluster.start(i);
        }
        Step::Replace(i) if is_active(cluster, i) && cluster.tolerates_loss(&[i]) => {
            cluster.stop(i, true);
            cluster.machines[i].removed = true;
            cluster.add(cluster.machines[i].region);
        }
        Step::ShutDownAndReturn(i) if is_active(cluster, i) && cluster.tolerates_loss(&[i]) => {
            cluster.begin_shutdown(i, true)
        }
        Step::ShutDownAndReplace(i) if is_active(cluster, i) && cluster.tolerates_loss(&[i]) => {
            cluster.begin_shutdown(i, false);
            cluster.add(cluster.machines[i].region);
        }
        Step::Wait(ms) => {
            for _ in 0..ms / STEP_MS {
                cluster.tick();
                cluster.check()?;
            }
            return Ok(true);
        }
        _ => return Ok(false),
    }
    for _ in 0..2 {
        cluster.check()?;
        cluster.tick();
    }
    cluster.check()?;
    Ok(true)
}

/// Returns the steps that may come next. Machines of the same region are equivalent, except
/// for the leader.
fn possible_steps(cluster: &Cluster) -> Vec<Step> {
    let mut steps = vec![
        Step::Propose,
        Step::ReturnAll,
        Step::Wait(600),
        Step::Wait(CATCH_UP_MS + 100),
    ];
    let is_leader = |m: &Machine| m.node.as_ref().is_some_and(RaftNode::is_leader);
    let leader = cluster.machines.iter().position(is_leader).unwrap_or(0);
    let leader_region = cluster.machines[leader].region;
    let is_present = |i: &usize| !cluster.machines[*i].removed;
    let present: Vec<usize> = (0..cluster.machines.len()).filter(is_present).collect();
    let in_same_region = present
        .iter()
        .find(|i| cluster.machines[**i].region == leader_region && **i != leader);
    let in_other_region = present
        .iter()
        .find(|i| cluster.machines[**i].region != leader_region);
    for i in [Some(&leader), in_same_region, in_other_region]
        .into_iter()
        .flatten()
    {
        steps.extend([
            Step::Wipe(*i),
            Step::LosePower(*i),
            Step::Isolate(*i),
            Step::Restart(*i),
            Step::Replace(*i),
        ]);
        steps.extend([Step::ShutDownAndReturn(*i), Step::ShutDownAndReplace(*i)]);
    }
    steps.extend([
        Step::WipeRegion(leader_region),
        Step::WipeRegion((leader_region + 1) % 3),
    ]);
    steps
}

/// Totals over the explored histories: their number, and the membership changes and
/// acknowledged entries at their ends.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    histories: usize,
    changes: usize,
    acknowledged: usize,
}

/// Explores all histories that continue from this state.
fn explore(cluster: &Cluster, depth: usize, history: &mut Vec<Step>) -> Result<Totals, String> {
    if depth == 0 {
        // In some of the histories, checks that all machines return and become voters again.
        if history
            .iter()
            .filter(|step| matches!(step, Step::Wait(_)))
            .count()
            > 1
        {
            check_recovery(cluster).map_err(|e| format!("{history:?}: {e}"))?;
        }
        return Ok(Totals {
            histories: 1,
            changes: cluster.changes,
            acknowledged: cluster.acknowledged.len(),
        });
    }
    let mut totals = Totals::default();
    for step in possible_steps(cluster) {
        let mut next = cluster.clone();
        history.push(step);
        match apply_step(&mut next, step) {
            Ok(true) => {
                let subtotals = explore(&next, depth - 1, history)?;
                totals.histories += subtotals.histories;
                totals.changes += subtotals.changes;
                totals.acknowledged += subtotals.acknowledged;
            }
            Ok(false) => {}
            Err(e) => return Err(format!("{history:?}: {e}")),
        }
        history.pop();
    }
    Ok(totals)
}

/// Checks that once all machines that are down have returned, exactly the present machines
/// become voters.
fn check_recovery(cluster: &Cluster) -> Result<(), String> {
    let mut after = cluster.clone();
    apply_step(&mut after, Step::ReturnAll)?;
    after.run(2 * TIMEOUTS.removal_ms + CATCH_UP_MS);
    let mut present: Vec<u64> = after
        .machines
        .iter()
        .filter(|m| !m.removed)
        .map(|m| m.id)
        .collect();
    let leader = after.leader().ok_or("there is no leader")?;
    let mut voters: Vec<u64> = leader.membership().voters.iter().map(|v| v.id).collect();
    voters.sort_unstable();
    present.sort_unstable();
    if voters == present {
        return Ok(());
    }
    Err(format!(
        "machines {present:?} are present, but the voters are {voters:?}"
    ))
}

fn explore_all(regions: &[usize], depth: usize, next_membership: NextMembership) -> Result<Totals, String> {
    // For longer searches: number of steps beyond the default depth.
    let extra_depth = std::env::var("MEMBERSHIP_MODEL_DEEPER")
        .ok()
        .and_then(|d| d.parse().ok());
    let mut cluster = Cluster::new(regions, next_membership);
    cluster.changes = 0;
    explore(&cluster, depth + extra_depth.unwrap_or(0), &mut Vec::new())
}

fn assert_histories_hold(regions: &[usize], depth: usize, histories: usize) {
    let totals = explore_all(regions, depth, next_membership).unwrap_or_else(|e| panic!("{e}"));
    println!("{regions:?}: {totals:?}");
    assert!(
        totals.histories > histories && totals.changes > histories / 2 && totals.acknowledged > histories / 8
    );
}

#[test]
fn short_histories_hold_with_three_voters() {
    assert_histories_hold(&[0, 1, 2], 4, 3000);
}

#[test]
fn short_histories_hold_with_five_voters() {
    assert_histories_hold(&[0, 0, 1, 1, 2], 3, 1000);
}

#[test]
fn short_histories_hold_with_six_voters() {
    assert_histories_hold(&[0, 0, 1, 1, 2, 2], 3, 1000);
}

#[test]
fn short_histories_hold_with_seven_voters() {
    assert_histories_hold(&[0, 0, 0, 1, 1, 2, 2], 3, 1000);
}

#[test]
fn short_histories_hold_with_nine_voters() {
    assert_histories_hold(&[0, 0, 0, 1, 1, 1, 2, 2, 2], 3, 1000);
}

/// Runs longer random histories, one per seed. Returns their totals, or the first failed
/// history with its error.
fn run_random_histories(
    regions: &[usize],
    seeds: std::ops::Range<u64>,
    next_membership: NextMembership,
) -> Result<Totals, String> {
    let mut totals = Totals::default();
    let initial = Cluster::new(regions, next_membership);
    for seed in seeds {
        let (mut cluster, mut rng) = (initial.clone(), SmallRng::seed_from_u64(seed));
        cluster.changes = 0;
        let mut history = Vec::new();
        for _ in 0..12 {
            let possible = possible_steps(&cluster);
            let step = match rng.gen_range(0..6) {
                0 | 1 => Step::Wait(rng.gen_range(1..100) * STEP_MS),
                2 => Step::Propose,
                _ => possible[rng.gen_range(0..possible.len())],
            };
            history.push(step);
            apply_step(&mut cluster, step).map_err(|e| format!("seed {seed} {history:?}: {e}"))?;
        }
        check_recovery(&cluster).map_err(|e| format!("seed {seed} {history:?}: {e}"))?;
        totals.histories += 1;
        totals.changes += cluster.changes;
        totals.acknowledged += cluster.acknowledged.len();
    }
    Ok(totals)
}

#[test]
fn longer_random_histories_hold() {
    let seed_count = std::env::var("MEMBERSHIP_MODEL_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    for regions in [
        &[0, 1, 2][..],
        &[0, 0, 1, 1, 2],
        &[0, 0, 1, 1, 2, 2],
        &[0, 0, 0, 1, 1, 2, 2],
    ] {
        let seeds = 0..seed_count.unwrap_or(100);
        let totals = run_random_histories(regions, seeds, next_membership).unwrap_or_else(|e| panic!("{e}"));
        println!("{regions:?}: {totals:?}");
        assert!(totals.changes > 150 && totals.acknowledged > 15, "{totals:?}");
    }
}

/// Histories that violated the invariants with earlier versions of the planner.
#[test]
fn histories_that_failed_with_earlier_planners_hold() {
    use Step::*;
    let three_voters: &[usize] = &[0, 1, 2];
    let six_voters: &[usize] = &[0, 0, 1, 1, 2, 2];
    let seven_voters: &[usize] = &[0, 0, 0, 1, 1, 2, 2];
    let five_voters: &[usize] = &[0, 0, 1, 1, 2];
    let histories: [(&[usize], &[Step]); 7] = [
        // One machine replaces another: a dead voter among an even number of voters hinders
        // the change.
        (
            five_voters,
            &[ShutDownAndReplace(0), Wait(6600), Replace(4), Wait(4200)],
        ),
        (six_voters, &[Propose, WipeRegion(0), Wait(4100)]),
        (six_voters, &[Replace(0), Wait(4100), Wipe(2), Propose]),
        (
            six_voters,
            &[
                Restart(0),
                ShutDownAndReplace(0),
                ShutDownAndReplace(1),
                Wait(4100),
            ],
        ),
        (seven_voters, &[Replace(0), Wait(4100), Replace(5), Wait(4100)]),
        // A new leader does not know which machines have replaced which.
        (
            seven_voters,
            &[
                Wipe(0),
                Wait(4900),
                Wait(4700),
                Propose,
                ShutDownAndReplace(4),
                Restart(3),
                Wait(2100),
                Restart(3),
                Wait(3550),
                Wait(950),
            ],
        ),
        // The lost voter has been removed, and its new identity is lost before it becomes a
        // voter.
        (
            three_voters,
            &[
                Restart(1),
                Wait(600),
                Wipe(1),
                Wait(800),
                Restart(1),
                ShutDownAndReturn(1),
                Propose,
                Wait(4100),
            ],
        ),
    ];
    for (regions, history) in histories {
        let mut cluster = Cluster::new(regions, next_membership);
        for step in history {
            apply_step(&mut cluster, *step).unwrap_or_else(|e| panic!("{history:?}: {e}"));
        }
        check_recovery(&cluster).unwrap_or_else(|e| panic!("{history:?}: {e}"));
    }
}

/// An earlier planner: adds learners first, and counts dead voters like live ones.
fn planner_counting_dead_voters(
    node: &RaftNode,
    now: u64,
    peers: &[PeerObservation],
    tolerance: FaultTolerance,
    timeouts: VoterTimeouts,
) -> Option<Membership> {
    if !node.is_established_leader() || node.is_membership_pending() {
        return None;
    }
    let membership = node.membership();
    let last_heard = |id: u64| node.progress(id).map_or(0, |p| p.last_heard);
    let is_in_contact = |id: u64| id == node.id() || now.saturating_sub(last_heard(id)) < timeouts.contact_ms;
    let matched = |id: u64| node.progress(id).map_or(0, |p| p.matched);
    let learner = peers.iter().find(|peer| {
        let is_caught_up = matched(peer.voter.id) > 0 && matched(peer.voter.id) + 8 >= node.last_index();
        peer.has_disk
            && peer.is_alive
            && !membership.contains(peer.voter.id)
            && is_in_contact(peer.voter.id)
            && is_caught_up
    });
    if let Some(peer) = learner {
        let mut voters = membership.voters.clone();
        voters.push(peer.voter.clone());
        return Some(Membership {
            voters,
            ..Default::default()
        });
    }
    membership
        .voters
        .iter()
        .filter(|v| !is_in_contact(v.id))
        .find_map(|v| {
            let is_wiped = peers
                .iter()
                .any(|peer| peer.voter.address == v.address && peer.voter.id != v.id);
            let is_unresponsive = now.saturating_sub(last_heard(v.id)) > timeouts.removal_ms;
            let remaining = Membership {
                voters: membership
                    .voters
                    .iter()
                    .filter(|o| o.id != v.id)
                    .cloned()
                    .collect(),
                ..Default::default()
            };
            let live = remaining.voters.iter().filter(|o| is_in_contact(o.id)).count();
            ((is_wiped || is_unresponsive)
                && live >= remaining.majority()
                && tolerates_faults(&remaining, tolerance))
            .then_some(remaining)
        })
}

#[test]
fn model_detects_a_planner_that_counts_dead_voters() {
    for regions in [&[0, 1, 2][..], &[0, 0, 1, 1, 2, 2], &[0, 0, 0, 1, 1, 2, 2]] {
        let result = explore_all(regions, 4, planner_counting_dead_voters);
        let error = result.expect_err("the model must find a violation");
        println!("{error}");
        assert!(error.contains("nobody can be elected"), "{error}");
    }
}
