//! How many voters beyond a majority are left after a loss that must be tolerated.

use crate::message::{Membership, Voter};
use std::collections::{HashMap, HashSet};

/// What may be lost at the same time: so many machines, or zones, or regions.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultTolerance {
    /// Machines.
    pub machines: u32,
    /// Zones, with all their machines.
    pub zones: u32,
    /// Regions, with all their zones.
    pub regions: u32,
}

/// The machine, zone or region that a voter fails with.
type FailureDomain = fn(&Voter) -> &String;

/// Each kind of failure domain, and how many of it may be lost together.
fn failure_domains(tolerance: FaultTolerance) -> [(FailureDomain, usize); 3] {
    [
        (|v| &v.address, tolerance.machines as usize),
        (|v| &v.zone, tolerance.zones as usize),
        (|v| &v.region, tolerance.regions as usize),
    ]
}

/// The most of these voters that one tolerated loss may take which takes all that is `lost`
/// already. Where more is lost than is tolerated, only those are counted: nothing further is
/// promised.
fn most_lost(voters: &[&Voter], lost: &[&Voter], tolerance: FaultTolerance) -> usize {
    let domains = failure_domains(tolerance).into_iter();
    let worst = domains.filter_map(|(domain, count)| most_lost_in(voters, lost, domain, count));
    worst.max().unwrap_or_else(|| {
        let is_lost = |v: &&&Voter| contains(lost, v);
        voters.iter().filter(is_lost).count()
    })
}

/// The same for `count` failure domains of one kind; `None` if more of them are lost already.
fn most_lost_in(voters: &[&Voter], lost: &[&Voter], domain: FailureDomain, count: usize) -> Option<usize> {
    let mut sizes: HashMap<&String, usize> = HashMap::new();
    for voter in voters {
        *sizes.entry(domain(voter)).or_default() += 1;
    }
    let lost_domains: HashSet<&String> = lost.iter().map(|v| domain(v)).collect();
    let further = count.checked_sub(lost_domains.len())?;
    let already: usize = lost_domains.iter().filter_map(|d| sizes.remove(d)).sum();
    let mut sizes: Vec<usize> = sizes.into_values().collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    Some(already + sizes.into_iter().take(further).sum::<usize>())
}

/// Voters that are left beyond a majority after the worst tolerated loss that includes what is
/// `lost` already; below 0 where a majority would be missing.
pub(crate) fn margin(voters: &[&Voter], lost: &[&Voter], tolerance: FaultTolerance) -> i64 {
    let left = voters.len() - most_lost(voters, lost, tolerance);
    left as i64 - majority(voters.len()) as i64
}

/// The margin for a loss that comes once what is `lost` now no longer counts: those that live
/// have to tolerate a whole loss by themselves.
pub(crate) fn next_loss_margin(voters: &[&Voter], lost: &[&Voter], tolerance: FaultTolerance) -> i64 {
    let live: Vec<&Voter> = voters.iter().filter(|v| !contains(lost, v)).copied().collect();
    let left = live.len() - most_lost(&live, &[], tolerance);
    left as i64 - majority(voters.len()) as i64
}

/// What may be the case where voters are lost: those of the loss under way, and, where more
/// are lost than is tolerated, others that are gone for good, in whose place machines have
/// come that count by now.
pub(crate) struct FailureScenario<'a> {
    under_way: Vec<&'a Voter>,
    gone: Vec<&'a Voter>,
}

impl<'a> FailureScenario<'a> {
    /// The scenarios that there may be. `lost` has the latest loss first, which is the one
    /// under way; `lost_at` tells which are no later than others.
    pub(crate) fn all(
        lost: &[&'a Voter],
        lost_at: impl Fn(&Voter) -> u64,
        tolerance: FaultTolerance,
    ) -> Vec<FailureScenario<'a>> {
        if is_tolerated(lost, tolerance) {
            return vec![FailureScenario {
                under_way: lost.to_vec(),
                gone: Vec::new(),
            }];
        }
        let latest = lost.first().map(|v| lost_at(v));
        let newest = lost.iter().filter(|v| Some(lost_at(v)) == latest);
        newest
            .map(|first| FailureScenario::with_latest(first, lost, tolerance))
            .collect()
    }

    /// The scenario in which the loss under way began with this voter.
    fn with_latest(first: &'a Voter, lost: &[&'a Voter], tolerance: FaultTolerance) -> FailureScenario<'a> {
        let (mut under_way, mut gone) = (vec![first], Vec::new());
        for voter in lost.iter().filter(|v| v.id != first.id) {
            under_way.push(*voter);
            if !is_tolerated(&under_way, tolerance) {
                gone.extend(under_way.pop());
            }
        }
        FailureScenario { under_way, gone }
    }

    /// The margin of voters in this scenario.
    pub(crate) fn margin(&self, voters: &[&Voter], tolerance: FaultTolerance) -> i64 {
        let remains = |v: &&&Voter| !contains(&self.gone, v);
        let remaining: Vec<&Voter> = voters.iter().filter(remains).copied().collect();
        let left = remaining.len() - most_lost(&remaining, &self.under_way, tolerance);
        left as i64 - majority(voters.len()) as i64
    }
}

/// Whether one tolerated loss may take all these voters.
fn is_tolerated(lost: &[&Voter], tolerance: FaultTolerance) -> bool {
    failure_domains(tolerance).into_iter().any(|(domain, count)| {
        let domains: HashSet<&String> = lost.iter().map(|v| domain(v)).collect();
        domains.len() <= count
    })
}

/// How many of so many voters make a majority.
pub(crate) fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

pub(crate) fn contains(voters: &[&Voter], voter: &Voter) -> bool {
    voters.iter().any(|v| v.id == voter.id)
}

/// Lost voters whose place nobody has taken again; see [`Membership::vacancies`].
pub(crate) fn open_vacancies(membership: &Membership) -> Vec<&Voter> {
    let is_taken = |v: &Voter| {
        let mut voters = membership.voters.iter();
        voters.any(|o| o.id == v.id || o.address == v.address)
    };
    membership.vacancies.iter().filter(|v| !is_taken(v)).collect()
}

/// Whether so many voters can hold anything that is to outlast the machines that may be lost,
/// whatever is lost already.
pub(crate) fn has_enough_voters(voters: usize, tolerance: FaultTolerance) -> bool {
    voters > tolerance.machines as usize
}

/// Whether these voters, all of them alive, still have a majority after any tolerated loss.
pub fn tolerates_faults(membership: &Membership, tolerance: FaultTolerance) -> bool {
    let voters: Vec<&Voter> = membership.voters.iter().collect();
    has_enough_voters(voters.len(), tolerance) && margin(&voters, &open_vacancies(membership), tolerance) >= 0
}
