//! The changes of the membership that are open, and the choice among them.

use super::LeaderView;
use crate::fault_tolerance::{
    contains, has_enough_voters, majority, margin, next_loss_margin, open_vacancies, FailureScenario,
    FaultTolerance,
};
use crate::message::{Membership, Voter};
use std::cmp::Reverse;

/// Voters beyond a majority that a change leaves; ordered by what counts more.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Margins {
    /// Once a fresh loss may come.
    next_loss: i64,
    /// Now.
    current: i64,
}

/// A change of the membership that could come next.
struct MembershipChange<'a> {
    voters: Vec<&'a Voter>,
    vacancies: Vec<&'a Voter>,
    margins: Margins,
}

/// What the next change is chosen by.
pub(super) struct Planner<'a> {
    view: LeaderView<'a>,
    tolerance: FaultTolerance,
    voters: Vec<&'a Voter>,
    /// Voters that are lost or shutting down.
    lost: Vec<&'a Voter>,
    /// See [`Membership::vacancies`].
    vacancies: Vec<&'a Voter>,
    scenarios: Vec<FailureScenario<'a>>,
    newcomers: Vec<&'a Voter>,
    /// The voters' margin for a fresh loss.
    next_loss_margin: i64,
}

impl<'a> Planner<'a> {
    /// `None` while a new leader still waits for word of all: who has not answered yet may
    /// well live.
    pub(super) fn new(view: LeaderView<'a>, tolerance: FaultTolerance) -> Option<Planner<'a>> {
        let voters = view.voters();
        let lost: Vec<&Voter> = voters.iter().filter(|v| view.is_lost(v)).copied().collect();
        let led_ms = view.now.saturating_sub(view.node.leader_since());
        if !lost.is_empty() && led_ms < view.timeouts.contact_ms {
            return None;
        }
        let mut vacancies = open_vacancies(view.node.membership());
        vacancies.retain(|v| !view.is_back(v));
        let mut absent: Vec<&Voter> = lost.iter().chain(&vacancies).copied().collect();
        absent.sort_by_key(|v| Reverse(view.lost_at(v)));
        Some(Planner {
            scenarios: FailureScenario::all(&absent, |v| view.lost_at(v), tolerance),
            newcomers: view.newcomers(),
            next_loss_margin: next_loss_margin(&voters, &lost, tolerance),
            view,
            tolerance,
            voters,
            lost,
            vacancies,
        })
    }

    /// The membership that the best open change leads to.
    pub(super) fn next_membership(&self) -> Option<Membership> {
        let changes = self.removals().into_iter().chain(self.additions());
        // Of equal ones the first: what is lost goes before newcomers come.
        let best = changes.rev().max_by_key(|c| c.margins);
        let best = best.or_else(|| self.shrink())?;
        let owned = |voters: Vec<&Voter>| voters.into_iter().cloned().collect();
        let tolerates_next_loss = margin(&best.voters, &[], self.tolerance) >= 0;
        Some(Membership {
            vacancies: if tolerates_next_loss {
                Vec::new()
            } else {
                owned(best.vacancies)
            },
            voters: owned(best.voters),
        })
    }

    /// The least margin of these voters in any scenario.
    fn current_margin(&self, voters: &[&Voter]) -> i64 {
        let margins = self.scenarios.iter().map(|s| s.margin(voters, self.tolerance));
        margins.min().unwrap_or(0)
    }

    fn next_loss_margin(&self, voters: &[&Voter]) -> i64 {
        next_loss_margin(voters, &self.lost, self.tolerance)
    }

    /// The margin of these voters if only the vacancies count as lost.
    fn margin_with_vacancies(&self, voters: &[&Voter]) -> i64 {
        margin(voters, &self.vacancies, self.tolerance)
    }

    /// Whether voters tolerate what may come now in each scenario in which today's do.
    fn is_no_worse(&self, after: &[&Voter]) -> bool {
        self.scenarios.iter().all(|s| {
            let today = s.margin(&self.voters, self.tolerance);
            s.margin(after, self.tolerance) >= today.min(0)
        })
    }

    fn without(&self, removed: &[&Voter]) -> Vec<&'a Voter> {
        let stays = |v: &&Voter| !contains(removed, v);
        self.voters.iter().copied().filter(stays).collect()
    }

    /// Whether voters that have been silent for a while would be better gone: a fresh loss is
    /// not tolerated with them, and is without them, or with who stands by.
    fn is_removal_urgent(&self) -> bool {
        let timeout = self.view.timeouts.urgent_removal_ms;
        let is_silent = |v: &&&Voter| self.view.silence_ms(v) > timeout;
        let silent: Vec<&Voter> = self.lost.iter().filter(is_silent).copied().collect();
        let tolerates_without = self.next_loss_margin(&self.without(&silent)) >= 0;
        self.next_loss_margin < 0 && (tolerates_without || !self.newcomers.is_empty())
    }

    /// Whether a newcomer can take over the vote of a voter that shuts down while it is still
    /// there: nothing else is lost, and the voters that come of it tolerate a loss.
    fn can_be_replaced(&self, voter: &Voter) -> bool {
        let is_only_loss = self.lost.iter().all(|o| o.id == voter.id);
        let tolerates = |newcomer: &&Voter| {
            let after: Vec<&Voter> = self.without(&[voter]).into_iter().chain([*newcomer]).collect();
            margin(&after, &[], self.tolerance) >= 0
        };
        is_only_loss && self.newcomers.iter().any(tolerates)
    }

    fn is_removable(&self, voter: &Voter) -> bool {
        let (view, timeouts) = (&self.view, self.view.timeouts);
        let shuts_down = view.is_shutting_down(voter);
        if shuts_down && self.can_be_replaced(voter) {
            return true;
        }
        let timeout = if shuts_down || self.is_removal_urgent() {
            timeouts.urgent_removal_ms
        } else {
            timeouts.removal_ms
        };
        let silence = view.silence_ms(voter);
        view.is_wiped(voter) && silence >= timeouts.contact_ms || silence > timeout
    }

    /// Changes that remove a lost voter.
    fn removals(&self) -> Vec<MembershipChange<'a>> {
        let is_removable = |v: &&&Voter| self.is_removable(v);
        let removable: Vec<&Voter> = self.lost.iter().filter(is_removable).copied().collect();
        let margin_without_all = self.next_loss_margin(&self.without(&removable));
        let removals = removable
            .iter()
            .map(|voter| self.removal(voter, margin_without_all));
        removals.flatten().collect()
    }

    fn removal(&self, voter: &'a Voter, margin_without_all: i64) -> Option<MembershipChange<'a>> {
        let voters = self.without(&[voter]);
        let next_loss = self.next_loss_margin(&voters);
        // Fewer voters are no use by themselves.
        let is_useful =
            next_loss > self.next_loss_margin || margin_without_all >= 0 || !self.newcomers.is_empty();
        if !is_useful || !self.has_live_majority(&voters) || !self.is_no_worse(&voters) {
            return None;
        }
        // What is removed is still lost until its successor counts.
        let absent: Vec<&Voter> = self.lost.iter().chain(&self.vacancies).copied().collect();
        let current = margin(&voters, &absent, self.tolerance);
        Some(MembershipChange {
            vacancies: self.vacancies.iter().copied().chain([voter]).collect(),
            margins: Margins { next_loss, current },
            voters,
        })
    }

    fn has_live_majority(&self, voters: &[&Voter]) -> bool {
        let is_live = |v: &&&Voter| self.view.is_in_contact(v) && !self.view.is_wiped(v);
        let live = voters.iter().filter(is_live).count();
        live >= majority(voters.len()) && has_enough_voters(voters.len(), self.tolerance)
    }

    /// Changes that add a newcomer.
    fn additions(&self) -> Vec<MembershipChange<'a>> {
        // Who would have to be removed again is not added.
        let all: Vec<&'a Voter> = self.voters.iter().chain(&self.newcomers).copied().collect();
        let lasting = self.tolerant_subset(&all);
        let stays = |v: &Voter| lasting.as_ref().is_none_or(|lasting| contains(lasting, v));
        let additions = self.newcomers.iter();
        additions.filter_map(|v| self.addition(v, stays(v))).collect()
    }

    fn addition(&self, newcomer: &'a Voter, stays: bool) -> Option<MembershipChange<'a>> {
        let with = |voters: &[&'a Voter], v: &'a Voter| -> Vec<&'a Voter> {
            voters.iter().copied().chain([v]).collect()
        };
        let voters = with(&self.voters, newcomer);
        let margins = Margins {
            next_loss: self.next_loss_margin(&voters),
            current: self.current_margin(&voters),
        };
        let is_no_worse = self.is_no_worse(&voters) && margins.next_loss >= self.next_loss_margin.min(0);
        // An even number of voters may tolerate less than the odd one before it: the next
        // newcomer makes up for that. Too few tolerate nothing, and become more.
        let mut others = self.newcomers.iter().filter(|o| o.id != newcomer.id);
        let next_makes_up = others.any(|o| self.current_margin(&with(&voters, o)) >= 0);
        let grows = next_makes_up || self.current_margin(&self.voters) < 0;
        let is_calm = self.lost.is_empty();
        ((is_no_worse || is_calm && grows) && (stays || !is_calm)).then(|| MembershipChange {
            vacancies: self.vacancies.clone(),
            voters,
            margins,
        })
    }

    /// Voters that all live and yet tolerate no loss, with nobody to come who changes that,
    /// are too many in some failure domain: the newest of those is removed, if that leads to
    /// voters that tolerate one and is no worse at any step. Who is just catching up has its
    /// time first.
    fn shrink(&self) -> Option<MembershipChange<'a>> {
        if !self.lost.is_empty() || self.margin_with_vacancies(&self.voters) >= 0 {
            return None;
        }
        let (view, timeouts) = (&self.view, self.view.timeouts);
        let pause = if view.is_anyone_catching_up() {
            timeouts.removal_ms
        } else {
            timeouts.contact_ms
        };
        let since = view.node.membership_since().max(view.node.leader_since());
        if view.now.saturating_sub(since) < pause {
            return None;
        }
        let kept = self.tolerant_subset(&self.voters)?;
        // The last in the membership is the newest.
        let removed = self.voters.iter().rev().find(|v| !contains(&kept, v))?;
        let voters = self.without(&[removed]);
        let next_loss = next_loss_margin(&voters, &[], self.tolerance);
        Some(MembershipChange {
            margins: Margins {
                next_loss,
                current: next_loss,
            },
            vacancies: self.vacancies.clone(),
            voters,
        })
    }

    /// Those of some machines that tolerate a loss, once the ones too many in some failure
    /// domain are left out, the last first; `None` if that leads nowhere or is worse at some
    /// step.
    fn tolerant_subset(&self, all: &[&'a Voter]) -> Option<Vec<&'a Voter>> {
        let own_id = self.view.node.id();
        let mut kept = all.to_vec();
        while self.margin_with_vacancies(&kept) < 0 {
            let without = |v: &&Voter| -> Vec<&'a Voter> {
                let others = kept.iter().copied();
                others.filter(|o| o.id != v.id).collect()
            };
            let others = kept.iter().filter(|v| v.id != own_id);
            let after = others
                .map(without)
                .max_by_key(|after| self.margin_with_vacancies(after))?;
            let is_worse = self.margin_with_vacancies(&after) < self.margin_with_vacancies(&kept);
            if is_worse || !has_enough_voters(after.len(), self.tolerance) {
                return None;
            }
            kept = after;
        }
        Some(kept)
    }
}
