//! Enumerates the possible membership changes and chooses among them.

use super::LeaderView;
use crate::fault_tolerance::{
    contains, has_enough_voters, majority, margin, next_loss_margin, open_vacancies, FailureScenario,
    FaultTolerance,
};
use crate::message::{Membership, Voter};
use std::cmp::Reverse;

/// Margins, in voters beyond a majority, that a change leaves. The first field takes
/// precedence in comparisons.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Margins {
    /// Margin for a later, separate loss.
    next_loss: i64,
    /// Margin for the current loss.
    current: i64,
}

/// A membership change that could be proposed next.
struct MembershipChange<'a> {
    voters: Vec<&'a Voter>,
    vacancies: Vec<&'a Voter>,
    margins: Margins,
}

/// The state from which the next change is chosen.
pub(super) struct Planner<'a> {
    view: LeaderView<'a>,
    tolerance: FaultTolerance,
    voters: Vec<&'a Voter>,
    /// Voters that are lost or shutting down.
    lost: Vec<&'a Voter>,
    /// See [`Membership::vacancies`].
    vacancies: Vec<&'a Voter>,
    scenarios: Vec<FailureScenario<'a>>,
    promotable_learners: Vec<&'a Voter>,
    /// Margin of the current voters for a later, separate loss.
    next_loss_margin: i64,
}

impl<'a> Planner<'a> {
    /// Creates a planner. Returns `None` while voters count as lost and this node has led for
    /// less than the contact timeout: voters that have not answered yet may be alive.
    pub(super) fn new(view: LeaderView<'a>, tolerance: FaultTolerance) -> Option<Planner<'a>> {
        let voters = view.voters();
        let lost: Vec<&Voter> = voters.iter().filter(|v| view.is_lost(v)).copied().collect();
        let leadership_ms = view.now.saturating_sub(view.node.leader_since());
        if !lost.is_empty() && leadership_ms < view.timeouts.contact_ms {
            return None;
        }
        let mut vacancies = open_vacancies(view.node.membership());
        vacancies.retain(|v| !view.has_returned(v));
        let mut absent: Vec<&Voter> = lost.iter().chain(&vacancies).copied().collect();
        absent.sort_by_key(|v| Reverse(view.lost_at(v)));
        Some(Planner {
            scenarios: FailureScenario::all(&absent, |v| view.lost_at(v), tolerance),
            promotable_learners: view.promotable_learners(),
            next_loss_margin: next_loss_margin(&voters, &lost, tolerance),
            view,
            tolerance,
            voters,
            lost,
            vacancies,
        })
    }

    /// Returns the membership that results from the best possible change.
    pub(super) fn next_membership(&self) -> Option<Membership> {
        let changes = self.removals().into_iter().chain(self.additions());
        // Of equal changes the first is chosen: lost voters are removed before learners are
        // promoted.
        let best = changes.rev().max_by_key(|c| c.margins);
        let best = best.or_else(|| self.shrink()).or_else(|| self.step_to_target())?;
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

    /// Returns the smallest margin of these voters in any scenario.
    fn current_margin(&self, voters: &[&Voter]) -> i64 {
        let margins = self.scenarios.iter().map(|s| s.margin(voters, self.tolerance));
        margins.min().unwrap_or(0)
    }

    fn next_loss_margin(&self, voters: &[&Voter]) -> i64 {
        next_loss_margin(voters, &self.lost, self.tolerance)
    }

    /// Returns the margin of these voters if only the vacancies count as lost.
    fn margin_with_vacancies(&self, voters: &[&Voter]) -> i64 {
        margin(voters, &self.vacancies, self.tolerance)
    }

    /// Returns whether a change makes no scenario worse: the margin of the voters after the
    /// change is not negative, or at least not below a negative margin of the current voters.
    fn is_no_worse(&self, after: &[&Voter]) -> bool {
        self.scenarios.iter().all(|s| {
            let current = s.margin(&self.voters, self.tolerance);
            s.margin(after, self.tolerance) >= current.min(0)
        })
    }

    fn without(&self, removed: &[&Voter]) -> Vec<&'a Voter> {
        let stays = |v: &&Voter| !contains(removed, v);
        self.voters.iter().copied().filter(stays).collect()
    }

    /// Returns whether unresponsive voters should be removed early: a further loss is not
    /// tolerated with them, but is tolerated without them or there are learners to promote.
    fn is_removal_urgent(&self) -> bool {
        let timeout = self.view.timeouts.urgent_removal_ms;
        let is_unresponsive = |v: &&&Voter| self.view.unresponsive_ms(v) > timeout;
        let unresponsive: Vec<&Voter> = self.lost.iter().filter(is_unresponsive).copied().collect();
        let is_tolerated_without = self.next_loss_margin(&self.without(&unresponsive)) >= 0;
        self.next_loss_margin < 0 && (is_tolerated_without || !self.promotable_learners.is_empty())
    }

    /// Returns whether a learner can replace a voter that is shutting down while that voter is
    /// still running: no other voter is lost, and the resulting voters tolerate a loss.
    fn can_be_replaced(&self, voter: &Voter) -> bool {
        let is_only_loss = self.lost.iter().all(|o| o.id == voter.id);
        let tolerates = |learner: &&Voter| {
            let after: Vec<&Voter> = self.without(&[voter]).into_iter().chain([*learner]).collect();
            margin(&after, &[], self.tolerance) >= 0
        };
        is_only_loss && self.promotable_learners.iter().any(tolerates)
    }

    fn is_removable(&self, voter: &Voter) -> bool {
        let (view, timeouts) = (&self.view, self.view.timeouts);
        let is_shutting_down = view.is_shutting_down(voter);
        if is_shutting_down && self.can_be_replaced(voter) {
            return true;
        }
        let timeout = if is_shutting_down || self.is_removal_urgent() {
            timeouts.urgent_removal_ms
        } else {
            timeouts.removal_ms
        };
        let unresponsive_ms = view.unresponsive_ms(voter);
        view.is_wiped(voter) && unresponsive_ms >= timeouts.contact_ms || unresponsive_ms > timeout
    }

    /// Returns the possible changes that remove a lost voter.
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
        // A smaller number of voters is not an improvement in itself.
        let is_useful = next_loss > self.next_loss_margin
            || margin_without_all >= 0
            || !self.promotable_learners.is_empty();
        if !is_useful || !self.has_live_majority(&voters) || !self.is_no_worse(&voters) {
            return None;
        }
        // A removed voter still counts as lost until its replacement is a voter.
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

    /// Returns the possible changes that promote a learner.
    fn additions(&self) -> Vec<MembershipChange<'a>> {
        // A learner that would have to be removed again is not promoted.
        let candidates: Vec<&'a Voter> = self
            .voters
            .iter()
            .chain(&self.promotable_learners)
            .copied()
            .collect();
        let kept = self.tolerant_subset(&candidates);
        let is_kept = |v: &Voter| kept.as_ref().is_none_or(|kept| contains(kept, v));
        let additions = self.promotable_learners.iter();
        additions.filter_map(|v| self.addition(v, is_kept(v))).collect()
    }

    fn addition(&self, learner: &'a Voter, is_kept: bool) -> Option<MembershipChange<'a>> {
        let with_voter = |voters: &[&'a Voter], v: &'a Voter| -> Vec<&'a Voter> {
            voters.iter().copied().chain([v]).collect()
        };
        let voters = with_voter(&self.voters, learner);
        let margins = Margins {
            next_loss: self.next_loss_margin(&voters),
            current: self.current_margin(&voters),
        };
        let is_no_worse = self.is_no_worse(&voters) && margins.next_loss >= self.next_loss_margin.min(0);
        // An even number of voters may tolerate less than the odd number before it; the next
        // addition compensates for that. Voters that are too few to tolerate any loss may
        // always grow in number.
        let mut others = self.promotable_learners.iter().filter(|o| o.id != learner.id);
        let next_addition_compensates = others.any(|o| self.current_margin(&with_voter(&voters, o)) >= 0);
        let may_grow = next_addition_compensates || self.current_margin(&self.voters) < 0;
        let no_loss = self.lost.is_empty();
        ((is_no_worse || no_loss && may_grow) && (is_kept || !no_loss)).then(|| MembershipChange {
            vacancies: self.vacancies.clone(),
            voters,
            margins,
        })
    }

    /// Returns the removal of a surplus voter. If all voters are alive and still tolerate no
    /// loss, and no learner can be promoted to change that, some failure domain has too many
    /// voters. The newest of these is removed if that leads to voters that tolerate a loss and
    /// no step makes the margin worse. Learners that are still catching up are given time
    /// first.
    fn shrink(&self) -> Option<MembershipChange<'a>> {
        if !self.lost.is_empty() || self.margin_with_vacancies(&self.voters) >= 0 {
            return None;
        }
        let (view, timeouts) = (&self.view, self.view.timeouts);
        let delay_ms = if view.is_any_learner_catching_up() {
            timeouts.removal_ms
        } else {
            timeouts.contact_ms
        };
        let since = view.node.membership_since().max(view.node.leader_since());
        if view.now.saturating_sub(since) < delay_ms {
            return None;
        }
        let kept = self.tolerant_subset(&self.voters)?;
        // Voters are listed oldest first, so the last one is the newest.
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

    /// Returns the next step to the best membership that the living machines can form, if the
    /// voters tolerate no loss and no single change gains anything by itself: the better membership
    /// is several changes away.
    fn step_to_target(&self) -> Option<MembershipChange<'a>> {
        if self.margin_with_vacancies(&self.voters) >= 0 {
            return None;
        }
        let is_live = |v: &&Voter| !contains(&self.lost, v);
        let live_voters = self.voters.iter().copied().filter(is_live);
        let living: Vec<&Voter> = live_voters
            .chain(self.promotable_learners.iter().copied())
            .collect();
        let target = self.tolerant_subset(&living)?;
        let is_dead = |v: &&&Voter| !contains(&target, v) && self.is_removable(v);
        let removals = self.lost.iter().filter(is_dead).map(|voter| {
            let vacancies = self.vacancies.iter().copied().chain([*voter]).collect();
            self.change_to(self.without(&[voter]), vacancies)
        });
        let is_missing = |v: &&&Voter| contains(&target, v);
        let additions = self.promotable_learners.iter().filter(is_missing).map(|learner| {
            let voters = self.voters.iter().copied().chain([*learner]).collect();
            self.change_to(voters, self.vacancies.clone())
        });
        let is_safe = |c: &MembershipChange| self.has_live_majority(&c.voters) && self.is_no_worse(&c.voters);
        let changes: Vec<MembershipChange> = removals.chain(additions).filter(is_safe).collect();
        // Of equal changes the first is chosen: lost voters are removed first.
        changes.into_iter().rev().max_by_key(|c| c.margins)
    }

    fn change_to(&self, voters: Vec<&'a Voter>, vacancies: Vec<&'a Voter>) -> MembershipChange<'a> {
        MembershipChange {
            margins: Margins {
                next_loss: self.next_loss_margin(&voters),
                current: self.current_margin(&voters),
            },
            vacancies,
            voters,
        }
    }

    /// Returns a subset of these voters that tolerates a loss, obtained by leaving out surplus
    /// voters of failure domains, the last ones first. Returns `None` if there is no such
    /// subset or a step towards it makes the margin worse.
    fn tolerant_subset(&self, candidates: &[&'a Voter]) -> Option<Vec<&'a Voter>> {
        let own_id = self.view.node.id();
        let mut kept = candidates.to_vec();
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
