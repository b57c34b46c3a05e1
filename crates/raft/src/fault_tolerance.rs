//! Computes how many voters beyond a majority remain after a loss that the cluster must
//! tolerate.

use crate::message::{Membership, Voter};
use std::collections::{HashMap, HashSet};

/// Number of machines, zones or regions that may fail at the same time. The limits are
/// alternatives: a tolerated loss stays within one of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultTolerance {
    /// Number of machines.
    pub machines: u32,
    /// Number of zones, each with all of its machines.
    pub zones: u32,
    /// Number of regions, each with all of its zones.
    pub regions: u32,
}

/// Returns the machine, zone or region that a voter fails together with.
type FailureDomain = fn(&Voter) -> &String;

/// Returns each kind of failure domain with the number of such domains that may fail together.
fn failure_domains(tolerance: FaultTolerance) -> [(FailureDomain, usize); 3] {
    [
        (|v| &v.address, tolerance.machines as usize),
        (|v| &v.zone, tolerance.zones as usize),
        (|v| &v.region, tolerance.regions as usize),
    ]
}

/// Returns the largest number of these voters that one tolerated loss can take if that loss
/// includes everything in `lost`. If `lost` already exceeds what is tolerated, only the lost
/// voters are counted, because no further loss is tolerated.
fn max_lost_voters(voters: &[&Voter], lost: &[&Voter], tolerance: FaultTolerance) -> usize {
    let domains = failure_domains(tolerance).into_iter();
    let worst = domains.filter_map(|(domain, count)| max_lost_voters_in(voters, lost, domain, count));
    worst.max().unwrap_or_else(|| {
        let is_lost = |v: &&&Voter| contains(lost, v);
        voters.iter().filter(is_lost).count()
    })
}

/// Returns the largest number of these voters that a loss of `count` failure domains of one
/// kind can take if that loss includes everything in `lost`; `None` if `lost` already spans
/// more than `count` domains.
fn max_lost_voters_in(
    voters: &[&Voter],
    lost: &[&Voter],
    domain: FailureDomain,
    count: usize,
) -> Option<usize> {
    let mut sizes: HashMap<&String, usize> = HashMap::new();
    for voter in voters {
        *sizes.entry(domain(voter)).or_default() += 1;
    }
    let lost_domains: HashSet<&String> = lost.iter().map(|v| domain(v)).collect();
    let further_domains = count.checked_sub(lost_domains.len())?;
    let already_lost: usize = lost_domains.iter().filter_map(|d| sizes.remove(d)).sum();
    let mut sizes: Vec<usize> = sizes.into_values().collect();
    sizes.sort_unstable_by(|a, b| b.cmp(a));
    Some(already_lost + sizes.into_iter().take(further_domains).sum::<usize>())
}

/// Returns the number of voters beyond a majority that remain after the worst tolerated loss
/// that includes everything in `lost`. The result is negative if too few are left for a
/// majority.
pub(crate) fn margin(voters: &[&Voter], lost: &[&Voter], tolerance: FaultTolerance) -> i64 {
    let left = voters.len() - max_lost_voters(voters, lost, tolerance);
    left as i64 - majority(voters.len()) as i64
}

/// Returns the margin for a later, separate loss: the live voters must tolerate a full loss on
/// top of the voters that are lost now.
pub(crate) fn next_loss_margin(voters: &[&Voter], lost: &[&Voter], tolerance: FaultTolerance) -> i64 {
    let live: Vec<&Voter> = voters.iter().filter(|v| !contains(lost, v)).copied().collect();
    let left = live.len() - max_lost_voters(&live, &[], tolerance);
    left as i64 - majority(voters.len()) as i64
}

/// One possible explanation of which voters are lost: the current loss, and, if more voters
/// are lost than is tolerated, voters that are permanently lost and whose replacements already
/// count as voters.
pub(crate) struct FailureScenario<'a> {
    current_loss: Vec<&'a Voter>,
    permanently_lost: Vec<&'a Voter>,
}

impl<'a> FailureScenario<'a> {
    /// Returns all possible scenarios. `lost` is ordered by time of loss, latest first; the
    /// latest loss is the current one. `lost_at` returns the time at which a voter was lost:
    /// if several voters share the latest time, each of them yields a scenario.
    pub(crate) fn all(
        lost: &[&'a Voter],
        lost_at: impl Fn(&Voter) -> u64,
        tolerance: FaultTolerance,
    ) -> Vec<FailureScenario<'a>> {
        if is_tolerated(lost, tolerance) {
            return vec![FailureScenario {
                current_loss: lost.to_vec(),
                permanently_lost: Vec::new(),
            }];
        }
        let latest = lost.first().map(|v| lost_at(v));
        let newest = lost.iter().filter(|v| Some(lost_at(v)) == latest);
        newest
            .map(|first| FailureScenario::starting_with(first, lost, tolerance))
            .collect()
    }

    /// Returns the scenario whose current loss starts with `first`: each other lost voter is
    /// added to it, in order, if it then still is a tolerated loss, and counts as permanently
    /// lost otherwise.
    fn starting_with(first: &'a Voter, lost: &[&'a Voter], tolerance: FaultTolerance) -> FailureScenario<'a> {
        let (mut current_loss, mut permanently_lost) = (vec![first], Vec::new());
        for voter in lost.iter().filter(|v| v.id != first.id) {
            current_loss.push(*voter);
            if !is_tolerated(&current_loss, tolerance) {
                permanently_lost.extend(current_loss.pop());
            }
        }
        FailureScenario {
            current_loss,
            permanently_lost,
        }
    }

    /// Returns the margin of `voters` in this scenario.
    pub(crate) fn margin(&self, voters: &[&Voter], tolerance: FaultTolerance) -> i64 {
        let remains = |v: &&&Voter| !contains(&self.permanently_lost, v);
        let remaining: Vec<&Voter> = voters.iter().filter(remains).copied().collect();
        let left = remaining.len() - max_lost_voters(&remaining, &self.current_loss, tolerance);
        left as i64 - majority(voters.len()) as i64
    }
}

/// Returns whether one tolerated loss can take all these voters.
fn is_tolerated(lost: &[&Voter], tolerance: FaultTolerance) -> bool {
    failure_domains(tolerance).into_iter().any(|(domain, count)| {
        let domains: HashSet<&String> = lost.iter().map(|v| domain(v)).collect();
        domains.len() <= count
    })
}

/// Returns the number of voters that form a majority.
pub(crate) fn majority(voters: usize) -> usize {
    voters / 2 + 1
}

pub(crate) fn contains(voters: &[&Voter], voter: &Voter) -> bool {
    voters.iter().any(|v| v.id == voter.id)
}

/// Returns the lost voters that have not been replaced yet; see [`Membership::vacancies`].
pub(crate) fn open_vacancies(membership: &Membership) -> Vec<&Voter> {
    let is_replaced = |v: &Voter| {
        let mut voters = membership.voters.iter();
        voters.any(|o| o.id == v.id || o.address == v.address)
    };
    membership.vacancies.iter().filter(|v| !is_replaced(v)).collect()
}

/// Returns whether there are enough voters for an entry to survive the tolerated number of
/// lost machines, regardless of which voters are already lost.
pub(crate) fn has_enough_voters(voters: usize, tolerance: FaultTolerance) -> bool {
    voters > tolerance.machines as usize
}

/// Returns whether these voters, assuming that all of them are alive, still have a majority
/// after any tolerated loss.
pub fn tolerates_faults(membership: &Membership, tolerance: FaultTolerance) -> bool {
    let voters: Vec<&Voter> = membership.voters.iter().collect();
    has_enough_voters(voters.len(), tolerance) && margin(&voters, &open_vacancies(membership), tolerance) >= 0
}
