//! The leader's care for the roll: who is to vote, one voter at a time, and whether
//! what is acknowledged bears a loss.

use crate::losses::{
    are_enough, cases, majority, spare, spare_later, vacant, FailureScenario, FaultTolerance,
};
use crate::machine::RaftNode;
use crate::message::{Membership, Voter};
use crate::progress::Progress;

/// Another node of this cluster, as the membership shows it.
#[derive(Clone, Debug)]
pub struct PeerObservation {
    pub voter: Voter,
    pub disk: bool,
    pub alive: bool,
}

/// How long silence is borne, in ms.
#[derive(Clone, Copy, Debug)]
pub struct SilenceTimeouts {
    /// A node silent for longer is not in contact.
    pub contact: u64,
    /// A voter silent for longer may be removed.
    pub gone: u64,
    /// The same for a voter that said it leaves, and where the rest would bear a loss
    /// that is not borne with it.
    pub left: u64,
}

/// Entries that a newcomer may lack and still count as caught up.
const NEARLY: u64 = 8;

/// Whether this node has heard another within `contact` ms, and since it leads.
fn in_contact(raft: &RaftNode, id: u64, now: u64, contact: u64) -> bool {
    id == raft.id()
        || raft
            .progress(id)
            .is_some_and(|p| p.round > 0 && now.saturating_sub(p.heard_at) < contact)
}

/// Whether the entry at `index` may be acknowledged by this leader: it is committed, it
/// is on the disks of a majority of the roll in force, and whatever loss inside `losses`
/// there is by now (voters not heard for `contact` ms are part of it, not on top of
/// it), a majority is left, any of which holds the entry in at least one disk. `false`
/// on a node that does not lead.
pub fn bears_loss(raft: &RaftNode, index: u64, now: u64, losses: FaultTolerance, contact: u64) -> bool {
    if !raft.is_settled() || index > raft.commit() {
        return false;
    }
    let voters: Vec<&Voter> = raft.roll().voters.iter().collect();
    let holders = voters.iter().filter(|v| raft.on_disk(v.id) >= index).count();
    let silent = |v: &&Voter| !in_contact(raft, v.id, now, contact);
    let there = voters.iter().copied().chain(vacant(raft.roll()));
    let lost: Vec<&Voter> = there.filter(silent).collect();
    let held = holders >= majority(voters.len()) && are_enough(voters.len(), losses);
    held && spare(&voters, &lost, losses) >= 0
}

/// Whether the core goes on, with all that was committed, if voter `id` ends now:
/// the others in contact are a majority, any of which holds every committed entry.
pub fn may_end(raft: &RaftNode, id: u64, now: u64, contact: u64) -> bool {
    let majority = raft.roll().majority();
    let others: Vec<u64> = raft
        .roll()
        .voters
        .iter()
        .map(|v| v.id)
        .filter(|v| *v != id && in_contact(raft, *v, now, contact))
        .collect();
    let lack = others
        .iter()
        .filter(|v| raft.on_disk(**v) < raft.commit())
        .count();
    raft.is_settled() && others.len() >= majority && lack < majority
}

/// The roll that should come next, if another one should. A caught-up newcomer with a
/// disk is added; a voter whose disk is lost, that has left or that has long been silent
/// is removed. Of the changes that are open now the one is taken that leaves most to
/// spare; none that would leave too few after a loss that may still come, if there
/// are enough now.
pub fn next_roll(
    raft: &RaftNode,
    now: u64,
    seen: &[PeerObservation],
    losses: FaultTolerance,
    patience: SilenceTimeouts,
) -> Option<Membership> {
    if !raft.is_settled() || raft.roll_pending() {
        return None;
    }
    let view = LeaderView {
        raft,
        now,
        seen,
        patience,
    };
    let voters: Vec<&Voter> = raft.roll().voters.iter().collect();
    let lost: Vec<&Voter> = voters.iter().filter(|v| view.is_lost(v)).copied().collect();
    // A new leader waits for word of all: who has not answered yet may well live.
    if !lost.is_empty() && now.saturating_sub(raft.led_since()) < patience.contact {
        return None;
    }
    // The latest loss first.
    let mut vacant = vacant(raft.roll());
    vacant.retain(|v| !view.is_back(v));
    let mut absent: Vec<&Voter> = lost.iter().chain(&vacant).copied().collect();
    absent.sort_by_key(|v| std::cmp::Reverse(view.lost_at(v)));
    let care = ChangePlanner {
        cases: cases(&absent, |v| view.lost_at(v), losses),
        newcomers: view.newcomers(),
        later_now: spare_later(&voters, &lost, losses),
        view,
        losses,
        voters,
        lost,
        vacant,
    };
    let changes = care.removals().into_iter().chain(care.additions());
    // Of equal ones the first: what is lost goes before newcomers come.
    let best = changes.rev().max_by_key(|c| c.spare);
    let best = best.or_else(|| care.step_back())?;
    let own = |voters: Vec<&Voter>| voters.into_iter().cloned().collect();
    Some(Membership {
        vacant: match spare(&best.voters, &[], losses) {
            0.. => Vec::new(),
            _ => own(best.vacant),
        },
        voters: own(best.voters),
    })
}

/// What the leader sees of the others.
struct LeaderView<'a> {
    raft: &'a RaftNode,
    now: u64,
    seen: &'a [PeerObservation],
    patience: SilenceTimeouts,
}

impl<'a> LeaderView<'a> {
    fn in_contact(&self, v: &Voter) -> bool {
        in_contact(self.raft, v.id, self.now, self.patience.contact)
    }

    fn heard_at(&self, v: &Voter) -> u64 {
        self.raft.progress(v.id).map_or(0, |p| p.heard_at)
    }

    fn leaves(&self, v: &Voter) -> bool {
        let progress = self.raft.progress(v.id);
        progress.is_some_and(Progress::was_leaving)
    }

    /// Whether the disk is lost: somebody else is at the same address.
    fn is_wiped(&self, v: &Voter) -> bool {
        self.seen
            .iter()
            .any(|s| s.voter.address == v.address && s.voter.id != v.id)
    }

    fn is_lost(&self, v: &Voter) -> bool {
        !self.in_contact(v) || self.is_wiped(v) || self.leaves(v)
    }

    /// Whether a lost machine is there again and caught up, with its disk or an empty one:
    /// it may be taken in, and whatever is lost next is a loss of its own.
    fn is_back(&self, v: &Voter) -> bool {
        let same = |s: &&PeerObservation| s.voter.id == v.id || s.voter.address == v.address;
        let back = |s: &PeerObservation| self.in_contact(&s.voter) && is_caught_up(self.raft, s.voter.id);
        self.seen.iter().filter(same).any(back)
    }

    /// When a lost voter was lost, as far as that can be told: a wiped machine is back,
    /// so its loss is the latest.
    fn lost_at(&self, v: &Voter) -> u64 {
        if self.is_wiped(v) {
            u64::MAX
        } else {
            self.heard_at(v)
        }
    }

    /// Machines without a vote that could have one.
    fn newcomers(&self) -> Vec<&'a Voter> {
        let seen = self.seen.iter().filter(|s| s.disk && s.alive);
        seen.map(|s| &s.voter)
            .filter(|v| !self.raft.roll().has(v.id) && self.in_contact(v) && !self.leaves(v))
            .filter(|v| is_caught_up(self.raft, v.id))
            .collect()
    }
}

/// A change of the roll that could come next.
struct Command<'a> {
    voters: Vec<&'a Voter>,
    vacant: Vec<&'a Voter>,
    /// What it leaves to spare once a fresh loss may come, and now.
    spare: (i64, i64),
}

/// What the next change of the roll is chosen by.
struct ChangePlanner<'a> {
    view: LeaderView<'a>,
    losses: FaultTolerance,
    voters: Vec<&'a Voter>,
    /// Voters that are lost or leave.
    lost: Vec<&'a Voter>,
    /// See [`Roll::vacant`].
    vacant: Vec<&'a Voter>,
    cases: Vec<FailureScenario<'a>>,
    newcomers: Vec<&'a Voter>,
    /// What the voters have to spare for a fresh loss.
    later_now: i64,
}

impl<'a> ChangePlanner<'a> {
    fn spare(&self, voters: &[&Voter]) -> i64 {
        let spares = self.cases.iter().map(|c| c.spare(voters, self.losses));
        spares.min().unwrap_or(0)
    }

    fn spare_later(&self, voters: &[&Voter]) -> i64 {
        spare_later(voters, &self.lost, self.losses)
    }

    /// Whether these voters bear what may come now, in each case in which they do today.
    fn keeps(&self, after: &[&Voter]) -> bool {
        self.cases.iter().all(|c| {
            let now = c.spare(&self.voters, self.losses);
            c.spare(after, self.losses) >= now.min(0)
        })
    }

    fn without(&self, gone: &[&Voter]) -> Vec<&'a Voter> {
        let stays = |v: &&Voter| gone.iter().all(|g| g.id != v.id);
        self.voters.iter().copied().filter(stays).collect()
    }

    fn silent(&self, v: &Voter) -> u64 {
        self.view.now.saturating_sub(self.view.heard_at(v))
    }

    /// Whether voters that have been silent for a while would be better gone: a fresh
    /// loss is not borne with them, and is without them, or with who stands by.
    fn is_pressed(&self) -> bool {
        let silent = |v: &&&Voter| self.silent(v) > self.view.patience.left;
        let silent: Vec<&Voter> = self.lost.iter().filter(silent).copied().collect();
        let mended = self.spare_later(&self.without(&silent)) >= 0;
        self.later_now < 0 && (mended || !self.newcomers.is_empty())
    }

    fn is_removable(&self, v: &Voter) -> bool {
        let (view, patience) = (&self.view, self.view.patience);
        let leaves = view.leaves(v);
        // Its vote goes to a newcomer while it is still there, if nothing else is lost and
        // the voters that come of it bear a loss.
        let alone = self.lost.iter().all(|o| o.id == v.id);
        let bears = |n: &&Voter| {
            let after: Vec<&Voter> = self.without(&[v]).into_iter().chain([*n]).collect();
            spare(&after, &[], self.losses) >= 0
        };
        if leaves && alone && self.newcomers.iter().any(bears) {
            return true;
        }
        let soon = leaves || self.is_pressed();
        let bound = if soon { patience.left } else { patience.gone };
        view.is_wiped(v) && self.silent(v) >= patience.contact || self.silent(v) > bound
    }

    fn removals(&self) -> Vec<Command<'a>> {
        let removable = |v: &&&Voter| self.is_removable(v);
        let gone: Vec<&Voter> = self.lost.iter().filter(removable).copied().collect();
        let later_all = self.spare_later(&self.without(&gone));
        let mut changes = Vec::new();
        for v in &gone {
            let voters = self.without(&[v]);
            let later = self.spare_later(&voters);
            // Fewer voters are no use by themselves.
            let serves = later > self.later_now || later_all >= 0 || !self.newcomers.is_empty();
            let up = |o: &&&Voter| self.view.in_contact(o) && !self.view.is_wiped(o);
            let live = voters.iter().filter(up).count();
            let goes_on = live >= majority(voters.len()) && are_enough(voters.len(), self.losses);
            // What is removed is still lost until its successor counts.
            if serves && goes_on && self.keeps(&voters) {
                let absent: Vec<&Voter> = self.lost.iter().chain(&self.vacant).copied().collect();
                let spare = (later, spare(&voters, &absent, self.losses));
                let vacant = self.vacant.iter().chain([v]).copied().collect();
                changes.push(Command {
                    voters,
                    vacant,
                    spare,
                });
            }
        }
        changes
    }

    /// Voters that all live and yet bear no loss, with nobody to come who mends that, are
    /// too many in some place: the newest of those step back, one by one, if that leads to
    /// voters that bear one and is no worse at any step. What is just coming up has its
    /// time first.
    fn step_back(&self) -> Option<Command<'a>> {
        let raft = self.view.raft;
        let spare = |voters: &[&Voter]| spare(voters, &self.vacant, self.losses);
        if !self.lost.is_empty() || spare(&self.voters) >= 0 {
            return None;
        }
        let learning = |s: &PeerObservation| {
            let votes = raft.roll().has(s.voter.id);
            s.disk && s.alive && !votes && !is_caught_up(raft, s.voter.id)
        };
        let patience = self.view.patience;
        let pause = if self.view.seen.iter().any(learning) {
            patience.gone
        } else {
            patience.contact
        };
        let since = raft.roll_since().max(raft.led_since());
        if self.view.now.saturating_sub(since) < pause {
            return None;
        }
        let kept = self.bearing(&self.voters)?;
        // The last in the roll is the newest.
        let one = self.voters.iter().rev().find(|v| !has(&kept, v))?;
        let voters = self.without(&[one]);
        let later = spare_later(&voters, &[], self.losses);
        Some(Command {
            spare: (later, later),
            vacant: self.vacant.clone(),
            voters,
        })
    }

    /// Those of some machines that bear a loss, once the ones too many in some place are
    /// left out, the last first; `None` if that leads nowhere or is worse at some step.
    fn bearing(&self, all: &[&'a Voter]) -> Option<Vec<&'a Voter>> {
        let spare = |voters: &[&Voter]| spare(voters, &self.vacant, self.losses);
        let me = self.view.raft.id();
        let mut kept = all.to_vec();
        while spare(&kept) < 0 {
            let without =
                |v: &&Voter| -> Vec<&'a Voter> { kept.iter().copied().filter(|o| o.id != v.id).collect() };
            let others = kept.iter().filter(|v| v.id != me);
            let after = others.map(without).max_by_key(|after| spare(after))?;
            if spare(&after) < spare(&kept) || !are_enough(after.len(), self.losses) {
                return None;
            }
            kept = after;
        }
        Some(kept)
    }

    fn additions(&self) -> Vec<Command<'a>> {
        let with = |voters: &[&'a Voter], v: &'a Voter| -> Vec<&'a Voter> {
            voters.iter().copied().chain([v]).collect()
        };
        let mut changes = Vec::new();
        // Who would have to step back again is not let in.
        let all: Vec<&'a Voter> = self.voters.iter().chain(&self.newcomers).copied().collect();
        let kept = self.bearing(&all);
        let stays = |v: &Voter| kept.as_ref().is_none_or(|kept| has(kept, v));
        for v in &self.newcomers {
            let voters = with(&self.voters, v);
            let spare = (self.spare_later(&voters), self.spare(&voters));
            let keeps = self.keeps(&voters) && spare.0 >= self.later_now.min(0);
            // An even number of voters may bear less than the odd one before it: the
            // next newcomer mends that. Too few bear nothing, and become more.
            let mut others = self.newcomers.iter().filter(|o| o.id != v.id);
            let mended = others.any(|o| self.spare(&with(&voters, o)) >= 0);
            let grows = mended || self.spare(&self.voters) < 0;
            let calm = self.lost.is_empty();
            if (keeps || calm && grows) && (stays(v) || !calm) {
                let vacant = self.vacant.clone();
                changes.push(Command {
                    voters,
                    vacant,
                    spare,
                });
            }
        }
        changes
    }
}

fn has(voters: &[&Voter], v: &Voter) -> bool {
    voters.iter().any(|o| o.id == v.id)
}

/// Whether a node has on its disk nearly all that there is.
fn is_caught_up(raft: &RaftNode, id: u64) -> bool {
    let matched = raft.progress(id).map_or(0, |p| p.matched);
    matched > 0 && matched + NEARLY >= raft.last_index()
}
