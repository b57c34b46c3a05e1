//! What a set of voters has to spare, for a loss inside what may be lost.

use crate::message::{Membership, Voter};
use std::collections::{HashMap, HashSet};

/// What may be lost at the same time: machines, or zones, or regions.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultTolerance {
    pub machines: u32,
    pub zones: u32,
    pub regions: u32,
}

/// A machine, zone or region, whichever is looked at.
type FailureDomain = fn(&Voter) -> &String;

/// Each kind of place, and how many of it may be lost together.
fn kinds(losses: FaultTolerance) -> [(FailureDomain, usize); 3] {
    [
        (|v| &v.address, losses.machines as usize),
        (|v| &v.zone, losses.zones as usize),
        (|v| &v.region, losses.regions as usize),
    ]
}

/// The most of these that one loss may take which takes all that is `lost`
/// already. Where more is lost than may be, only those are counted: nothing
/// further is promised.
fn worst_loss(voters: &[&Voter], lost: &[&Voter], losses: FaultTolerance) -> usize {
    let one_kind = |(place, count): (FailureDomain, usize)| -> Option<usize> {
        let mut sizes: HashMap<&String, usize> = HashMap::new();
        for v in voters {
            *sizes.entry(place(v)).or_default() += 1;
        }
        let gone: HashSet<&String> = lost.iter().map(|v| place(v)).collect();
        let further = count.checked_sub(gone.len())?;
        let taken: usize = gone.iter().filter_map(|p| sizes.remove(p)).sum();
        let mut sizes: Vec<usize> = sizes.into_values().collect();
        sizes.sort_unstable_by(|a, b| b.cmp(a));
        Some(taken + sizes.into_iter().take(further).sum::<usize>())
    };
    let worst = kinds(losses).into_iter().filter_map(one_kind).max();
    worst.unwrap_or_else(|| {
        voters
            .iter()
            .filter(|v| lost.iter().any(|l| l.id == v.id))
            .count()
    })
}

/// Voters that are left beyond a majority after the worst loss that takes in what is
/// `lost` already; below 0 where a majority would be missing.
pub(crate) fn spare(voters: &[&Voter], lost: &[&Voter], losses: FaultTolerance) -> i64 {
    let left = voters.len() - worst_loss(voters, lost, losses);
    left as i64 - majority(voters.len()) as i64
}

/// What may be the case where voters are lost: those of the loss under way, and, where
/// more are lost than `losses` says, others that are gone for good, in whose place
/// machines have come that count by now.
pub(crate) struct FailureScenario<'a> {
    under_way: Vec<&'a Voter>,
    gone: Vec<&'a Voter>,
}

/// The cases that there may be. `lost` has the latest loss first, which is the one under
/// way; `when` tells which are no later than others.
pub(crate) fn cases<'a>(
    lost: &[&'a Voter],
    when: impl Fn(&Voter) -> u64,
    losses: FaultTolerance,
) -> Vec<FailureScenario<'a>> {
    let fits = |part: &[&Voter]| {
        kinds(losses).into_iter().any(|(place, count)| {
            let places: HashSet<&String> = part.iter().map(|v| place(v)).collect();
            places.len() <= count
        })
    };
    if fits(lost) {
        let under_way = lost.to_vec();
        return vec![FailureScenario {
            under_way,
            gone: Vec::new(),
        }];
    }
    let latest = lost.first().map(|v| when(v));
    let firsts = lost.iter().filter(|v| Some(when(v)) == latest);
    firsts
        .map(|first| {
            let (mut under_way, mut gone) = (vec![*first], Vec::new());
            for v in lost.iter().filter(|v| v.id != first.id) {
                under_way.push(*v);
                if !fits(&under_way) {
                    gone.extend(under_way.pop());
                }
            }
            FailureScenario { under_way, gone }
        })
        .collect()
}

impl FailureScenario<'_> {
    /// What voters would have to spare in this case.
    pub(crate) fn spare(&self, voters: &[&Voter], losses: FaultTolerance) -> i64 {
        let there = |v: &&&Voter| self.gone.iter().all(|g| g.id != v.id);
        let still: Vec<&Voter> = voters.iter().filter(there).copied().collect();
        let left = still.len() - worst_loss(&still, &self.under_way, losses);
        left as i64 - majority(voters.len()) as i64
    }
}

/// The same for a loss that comes once what is `lost` now no longer counts: those that
/// live have to bear a whole loss by themselves.
pub(crate) fn spare_later(voters: &[&Voter], lost: &[&Voter], losses: FaultTolerance) -> i64 {
    let lives = |v: &&&Voter| !lost.iter().any(|l| l.id == v.id);
    let live: Vec<&Voter> = voters.iter().filter(lives).copied().collect();
    let left = live.len() - worst_loss(&live, &[], losses);
    left as i64 - majority(voters.len()) as i64
}

pub(crate) fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

/// Lost voters whose place nobody has taken again; see [`Roll::vacant`].
pub(crate) fn vacant(roll: &Membership) -> Vec<&Voter> {
    let taken = |v: &Voter| roll.voters.iter().any(|o| o.id == v.id || o.address == v.address);
    roll.vacant.iter().filter(|v| !taken(v)).collect()
}

/// Whether so many voters can hold anything that is to outlast the machines that may be
/// lost, whatever is lost already.
pub(crate) fn are_enough(voters: usize, losses: FaultTolerance) -> bool {
    voters > losses.machines as usize
}

/// Whether these voters, all of them alive, still have a majority after what may be lost.
pub fn bears(roll: &Membership, losses: FaultTolerance) -> bool {
    let voters: Vec<&Voter> = roll.voters.iter().collect();
    are_enough(voters.len(), losses) && spare(&voters, &vacant(roll), losses) >= 0
}
