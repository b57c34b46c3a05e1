//! Every short history of losses, wipes, returns, swaps, restarts, shutdowns and proposals
//! over small clusters of the real state machine, each loss inside what may be lost.
//! At every moment, and for every further loss that may still come, somebody who holds
//! all that was acknowledged can be elected, and nobody who lacks any of it can.

mod cluster;

use cluster::*;
use raft::{
    next_membership, tolerates_faults, FaultTolerance, Membership, PeerObservation, RaftNode, SilenceTimeouts,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Propose,
    /// The disk is lost; the machine is back at once.
    Wipe(usize),
    WipeRegion(usize),
    /// The power goes; the disk stays.
    Power(usize),
    /// Cut off from all others, both ways.
    Cut(usize),
    /// All that are down or cut off come back.
    Return,
    /// The process ends and is back at once.
    Restart(usize),
    /// Gone for good, with a new machine in its region at another address.
    Swap(usize),
    /// Ends in order and is back.
    LeaveAndReturn(usize),
    /// Ends in order for good; a new machine comes in its region.
    LeaveAndSwap(usize),
    Wait(u64),
}

/// Whether a machine runs and has not been told to end.
fn acts(me: &Cluster, i: usize) -> bool {
    me.up(i) && me.machines[i].leaving.is_none()
}

/// Takes a step, if it may be taken now.
fn take(me: &mut Cluster, step: Step) -> Result<bool, String> {
    match step {
        Step::Propose => {
            let leading = me.machines.iter_mut().filter_map(|m| m.node.as_mut());
            let Some(leader) = leading
                .filter(|l| l.is_established_leader())
                .max_by_key(|l| l.term())
            else {
                return Ok(false);
            };
            let now = me.now;
            let taken = leader.propose(vec![7]);
            me.pending.extend(taken.map(|at| (at.index, at.term, now)));
        }
        Step::Wipe(i) if acts(me, i) && me.may_lose(&[i]) => {
            me.end(i, true);
            me.start(i);
        }
        Step::WipeRegion(region) => {
            let all: Vec<usize> = (0..me.machines.len())
                .filter(|i| me.machines[*i].region == region && !me.machines[*i].removed)
                .collect();
            if !me.may_lose(&all) || all.iter().any(|i| me.machines[*i].leaving.is_some()) {
                return Ok(false);
            }
            for i in all {
                me.end(i, true);
                me.start(i);
            }
        }
        Step::Power(i) if acts(me, i) && me.may_lose(&[i]) => me.end(i, false),
        Step::Return => {
            let down: Vec<usize> = (0..me.machines.len())
                .filter(|i| {
                    let m = &me.machines[*i];
                    m.node.is_none() && !m.removed && m.back_at.is_none()
                })
                .collect();
            if down.is_empty() && me.cut_links.is_empty() {
                return Ok(false);
            }
            me.heal();
            for i in down {
                me.start(i);
            }
        }
        Step::Cut(i) if acts(me, i) && me.may_lose(&[i]) => me.cut_off(i),
        Step::Restart(i) if acts(me, i) && me.may_lose(&[i]) => {
            me.end(i, false);
            me.start(i);
        }
        Step::Swap(i) if acts(me, i) && me.may_lose(&[i]) => {
            me.end(i, true);
            me.machines[i].removed = true;
            me.add(me.machines[i].region);
        }
        Step::LeaveAndReturn(i) if acts(me, i) && me.may_lose(&[i]) => me.leave(i, true),
        Step::LeaveAndSwap(i) if acts(me, i) && me.may_lose(&[i]) => {
            me.leave(i, false);
            me.add(me.machines[i].region);
        }
        Step::Wait(ms) => {
            for _ in 0..ms / STEP_MS {
                me.tick();
                me.check()?;
            }
            return Ok(true);
        }
        _ => return Ok(false),
    }
    for _ in 0..2 {
        me.check()?;
        me.tick();
    }
    me.check()?;
    Ok(true)
}

/// What may come next. Machines of one region are alike but for the leader.
fn steps(cluster: &Cluster) -> Vec<Step> {
    let mut steps = vec![
        Step::Propose,
        Step::Return,
        Step::Wait(600),
        Step::Wait(CATCH_UP_MS + 100),
    ];
    let leads = |m: &Machine| m.node.as_ref().is_some_and(RaftNode::is_leader);
    let leader = cluster.machines.iter().position(leads).unwrap_or(0);
    let home = cluster.machines[leader].region;
    let there = |i: &usize| !cluster.machines[*i].removed;
    let all: Vec<usize> = (0..cluster.machines.len()).filter(there).collect();
    let peer = all
        .iter()
        .find(|i| cluster.machines[**i].region == home && **i != leader);
    let other = all.iter().find(|i| cluster.machines[**i].region != home);
    for i in [Some(&leader), peer, other].into_iter().flatten() {
        steps.extend([
            Step::Wipe(*i),
            Step::Power(*i),
            Step::Cut(*i),
            Step::Restart(*i),
            Step::Swap(*i),
        ]);
        steps.extend([Step::LeaveAndReturn(*i), Step::LeaveAndSwap(*i)]);
    }
    steps.extend([Step::WipeRegion(home), Step::WipeRegion((home + 1) % 3)]);
    steps
}

/// What was played: histories, changes of the membership and acknowledgements at their ends.
#[derive(Clone, Copy, Debug, Default)]
struct Played {
    histories: usize,
    changes: usize,
    acknowledged: usize,
}

/// Plays all that can follow.
fn explore(cluster: &Cluster, depth: usize, taken: &mut Vec<Step>) -> Result<Played, String> {
    if depth == 0 {
        // Now and then: all come back, and all vote again.
        if taken.iter().filter(|s| matches!(s, Step::Wait(_))).count() > 1 {
            recovers(cluster).map_err(|e| format!("{taken:?}: {e}"))?;
        }
        return Ok(Played {
            histories: 1,
            changes: cluster.changes,
            acknowledged: cluster.acknowledged.len(),
        });
    }
    let mut played = Played::default();
    for step in steps(cluster) {
        let mut next = cluster.clone();
        taken.push(step);
        match take(&mut next, step) {
            Ok(true) => {
                let more = explore(&next, depth - 1, taken)?;
                played.histories += more.histories;
                played.changes += more.changes;
                played.acknowledged += more.acknowledged;
            }
            Ok(false) => {}
            Err(e) => return Err(format!("{taken:?}: {e}")),
        }
        taken.pop();
    }
    Ok(played)
}

/// All that are down come back; after a while all machines vote, and only they.
fn recovers(cluster: &Cluster) -> Result<(), String> {
    let mut after = cluster.clone();
    take(&mut after, Step::Return)?;
    after.run(2 * TIMEOUTS.removal_ms + CATCH_UP_MS);
    let mut there: Vec<u64> = after
        .machines
        .iter()
        .filter(|m| !m.removed)
        .map(|m| m.id)
        .collect();
    let leader = after.leader().ok_or("nobody leads")?;
    let mut voters: Vec<u64> = leader.membership().voters.iter().map(|v| v.id).collect();
    voters.sort_unstable();
    there.sort_unstable();
    if voters == there {
        return Ok(());
    }
    Err(format!("{there:?} are there, {voters:?} vote"))
}

fn explored(regions: &[usize], depth: usize, next_membership: NextMembership) -> Result<Played, String> {
    // For a long search: steps beyond the usual ones.
    let deeper = std::env::var("MEMBERSHIP_MODEL_DEEPER")
        .ok()
        .and_then(|d| d.parse().ok());
    let mut cluster = Cluster::new(regions, next_membership);
    cluster.changes = 0;
    explore(&cluster, depth + deeper.unwrap_or(0), &mut Vec::new())
}

fn all_is_well(regions: &[usize], depth: usize, histories: usize) {
    let played = explored(regions, depth, next_membership).unwrap_or_else(|e| panic!("{e}"));
    println!("{regions:?}: {played:?}");
    assert!(
        played.histories > histories && played.changes > histories / 2 && played.acknowledged > histories / 8
    );
}

#[test]
fn three_voters() {
    all_is_well(&[0, 1, 2], 4, 3000);
}

#[test]
fn five_voters() {
    all_is_well(&[0, 0, 1, 1, 2], 3, 1000);
}

#[test]
fn six_voters() {
    all_is_well(&[0, 0, 1, 1, 2, 2], 3, 1000);
}

#[test]
fn seven_voters() {
    all_is_well(&[0, 0, 0, 1, 1, 2, 2], 3, 1000);
}

#[test]
fn nine_voters() {
    all_is_well(&[0, 0, 0, 1, 1, 1, 2, 2, 2], 3, 1000);
}

/// Longer histories, drawn from a seed; what they took, and how the first bad one ended.
fn drawn(
    regions: &[usize],
    seeds: std::ops::Range<u64>,
    next_membership: NextMembership,
) -> Result<Played, String> {
    let mut played = Played::default();
    let begun = Cluster::new(regions, next_membership);
    for seed in seeds {
        let (mut c, mut rng) = (begun.clone(), SmallRng::seed_from_u64(seed));
        c.changes = 0;
        let mut taken = Vec::new();
        for _ in 0..12 {
            let open = steps(&c);
            let step = match rng.gen_range(0..6) {
                0 | 1 => Step::Wait(rng.gen_range(1..100) * STEP_MS),
                2 => Step::Propose,
                _ => open[rng.gen_range(0..open.len())],
            };
            taken.push(step);
            take(&mut c, step).map_err(|e| format!("seed {seed} {taken:?}: {e}"))?;
        }
        recovers(&c).map_err(|e| format!("seed {seed} {taken:?}: {e}"))?;
        played.histories += 1;
        played.changes += c.changes;
        played.acknowledged += c.acknowledged.len();
    }
    Ok(played)
}

#[test]
fn longer_histories() {
    let more = std::env::var("MEMBERSHIP_MODEL_SEEDS")
        .ok()
        .and_then(|n| n.parse().ok());
    for regions in [
        &[0, 1, 2][..],
        &[0, 0, 1, 1, 2],
        &[0, 0, 1, 1, 2, 2],
        &[0, 0, 0, 1, 1, 2, 2],
    ] {
        let seeds = 0..more.unwrap_or(100);
        let played = drawn(regions, seeds, next_membership).unwrap_or_else(|e| panic!("{e}"));
        println!("{regions:?}: {played:?}");
        assert!(played.changes > 150 && played.acknowledged > 15, "{played:?}");
    }
}

/// Histories that earlier ways of choosing the next membership did not bear.
#[test]
fn histories_that_once_failed_hold() {
    use Step::*;
    let three: &[usize] = &[0, 1, 2];
    let six: &[usize] = &[0, 0, 1, 1, 2, 2];
    let seven: &[usize] = &[0, 0, 0, 1, 1, 2, 2];
    let five: &[usize] = &[0, 0, 1, 1, 2];
    let histories: [(&[usize], &[Step]); 7] = [
        // One for another: a dead voter among an even number is in the way.
        (five, &[LeaveAndSwap(0), Wait(6600), Swap(4), Wait(4200)]),
        (six, &[Propose, WipeRegion(0), Wait(4100)]),
        (six, &[Swap(0), Wait(4100), Wipe(2), Propose]),
        (six, &[Restart(0), LeaveAndSwap(0), LeaveAndSwap(1), Wait(4100)]),
        (seven, &[Swap(0), Wait(4100), Swap(5), Wait(4100)]),
        // A new leader does not know who has come in whose place.
        (
            seven,
            &[
                Wipe(0),
                Wait(4900),
                Wait(4700),
                Propose,
                LeaveAndSwap(4),
                Restart(3),
                Wait(2100),
                Restart(3),
                Wait(3550),
                Wait(950),
            ],
        ),
        // The lost voter is out of the membership, and its new self is lost before it votes.
        (
            three,
            &[
                Restart(1),
                Wait(600),
                Wipe(1),
                Wait(800),
                Restart(1),
                LeaveAndReturn(1),
                Propose,
                Wait(4100),
            ],
        ),
    ];
    for (regions, history) in histories {
        let mut c = Cluster::new(regions, next_membership);
        for step in history {
            take(&mut c, *step).unwrap_or_else(|e| panic!("{history:?}: {e}"));
        }
        recovers(&c).unwrap_or_else(|e| panic!("{history:?}: {e}"));
    }
}

/// The care for the membership as it was: newcomers first, and the dead counted with the rest.
fn counting_the_dead(
    raft: &RaftNode,
    now: u64,
    peers: &[PeerObservation],
    losses: FaultTolerance,
    patience: SilenceTimeouts,
) -> Option<Membership> {
    if !raft.is_established_leader() || raft.is_membership_pending() {
        return None;
    }
    let membership = raft.membership();
    let heard_at = |id: u64| raft.progress(id).map_or(0, |p| p.last_heard);
    let heard = |id: u64| id == raft.id() || now.saturating_sub(heard_at(id)) < patience.contact_ms;
    let matched = |id: u64| raft.progress(id).map_or(0, |p| p.matched);
    let newcomer = peers.iter().find(|s| {
        let caught_up = matched(s.voter.id) > 0 && matched(s.voter.id) + 8 >= raft.last_index();
        s.has_disk && s.is_alive && !membership.contains(s.voter.id) && heard(s.voter.id) && caught_up
    });
    if let Some(s) = newcomer {
        let mut voters = membership.voters.clone();
        voters.push(s.voter.clone());
        return Some(Membership {
            voters,
            ..Default::default()
        });
    }
    membership.voters.iter().filter(|v| !heard(v.id)).find_map(|v| {
        let wiped = peers
            .iter()
            .any(|s| s.voter.address == v.address && s.voter.id != v.id);
        let silent = now.saturating_sub(heard_at(v.id)) > patience.removal_ms;
        let rest = Membership {
            voters: membership
                .voters
                .iter()
                .filter(|o| o.id != v.id)
                .cloned()
                .collect(),
            ..Default::default()
        };
        let up = rest.voters.iter().filter(|o| heard(o.id)).count();
        ((wiped || silent) && up >= rest.majority() && tolerates_faults(&rest, losses)).then_some(rest)
    })
}

#[test]
fn model_finds_a_planner_that_counts_the_dead() {
    for regions in [&[0, 1, 2][..], &[0, 0, 1, 1, 2, 2], &[0, 0, 0, 1, 1, 2, 2]] {
        let found = explored(regions, 4, counting_the_dead);
        let what = found.expect_err("the model must find it");
        println!("{what}");
        assert!(what.contains("nobody can be elected"), "{what}");
    }
}
