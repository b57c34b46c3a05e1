//! Rules on evacuations: an evacuated zone receives no requests, and is in use again once every
//! evacuation of it was finished.

use super::{bounds, violation, Checker, Violation};
use crate::soak::observations::{Command, CommandKind, Observations, Request, Run};
use crate::soak::FINAL_OPERATOR;

/// A request that reached an evacuated zone after the time for which the zone may get requests.
pub(super) struct LateArrival<'a> {
    pub(super) request: &'a Request,
    pub(super) run: &'a Run,
    zone: String,
    /// Time since the evacuation was acknowledged, in milliseconds.
    after_ms: u64,
}

impl<'a> Checker<'a> {
    /// Returns the requests that reached an evacuated zone late.
    pub(super) fn late_in_evacuated_zones(&self) -> Vec<LateArrival<'a>> {
        let mut late = Vec::new();
        for evacuation in evacuations(&self.seen.commands) {
            let from = evacuation.acknowledged_at + bounds::EVACUATION_MS;
            let within = |run: &&Run| run.began_at > from && run.began_at < evacuation.until;
            let in_zone = |run: &&Run| {
                let facts = self.seen.workers.get(&run.worker);
                facts.is_some_and(|w| w.zone == evacuation.zone)
            };
            for run in self.seen.runs.iter().filter(within).filter(in_zone) {
                let Some(request) = self.requests.get(run.id.as_str()) else {
                    continue;
                };
                late.push(LateArrival {
                    request,
                    run,
                    zone: evacuation.zone.clone(),
                    after_ms: run.began_at - evacuation.acknowledged_at,
                });
            }
        }
        late
    }

    /// Rule EVAC: an evacuated zone receives no requests.
    pub(super) fn check_evacuations(&self, found: &mut Vec<Violation>) {
        for arrival in self.late_in_evacuated_zones() {
            let LateArrival {
                request,
                run,
                zone,
                after_ms,
            } = arrival;
            if self.is_in_contact(request.node, run.began_at) {
                let description = format!(
                    "reached {} of zone {zone} {after_ms} ms after its evacuation was acknowledged",
                    run.worker
                );
                let mut violation = violation("EVAC", request, &[run], &description);
                violation.log_terms = vec![format!("zone={zone} ")];
                found.push(violation);
            }
        }
    }

    /// Rule RECOVER: a zone is in use again at the end if every evacuation of it was begun and
    /// finished with an acknowledgement. Where a begin may have counted twice, the zone is in use
    /// after as many further finishes.
    pub(super) fn check_finished_evacuations(&self, found: &mut Vec<Violation>) {
        let Some(evacuated) = &self.seen.evacuated_at_end else {
            return;
        };
        for zone in evacuated {
            let commands = self.seen.commands.iter();
            let on_zone: Vec<&Command> = commands
                .filter(|c| matches!(&c.kind, CommandKind::Evacuation { zone: z, .. } if z == zone))
                .filter(|c| c.operator != FINAL_OPERATOR)
                .collect();
            let is_doubt_ended = doubtful_begins(self.seen, zone) > 0
                && !self.seen.evacuated_after_further_finish.contains(zone);
            if is_doubt_ended {
                continue;
            }
            let are_acknowledged = on_zone.iter().all(|c| c.acknowledged_at.is_some());
            let is_begin = |c: &&&Command| matches!(c.kind, CommandKind::Evacuation { begin: true, .. });
            let begins = on_zone.iter().filter(is_begin).count();
            if are_acknowledged && begins == on_zone.len() - begins {
                found.push(Violation {
                    rule: "RECOVER",
                    at: on_zone.last().map_or(0, |c| c.sent_at),
                    description: format!("zone {zone} is evacuated, although every evacuation was finished"),
                    log_terms: vec![format!("zone={zone} ")],
                });
            }
        }
    }
}

/// Returns the number of begins of a zone's evacuation that may have counted twice, because their
/// operator got no answer for so long that they no longer count as sent again.
pub fn doubtful_begins(seen: &Observations, zone: &str) -> usize {
    let is_begin =
        |c: &&Command| matches!(&c.kind, CommandKind::Evacuation { zone: z, begin: true } if z == zone);
    let is_doubtful = |c: &&Command| c.last_sent_at >= c.sent_at + bounds::REPETITION_MS;
    seen.commands.iter().filter(is_begin).filter(is_doubtful).count()
}

/// An evacuation that was acknowledged.
struct Evacuation {
    zone: String,
    acknowledged_at: u64,
    /// Time at which its end was first requested, in milliseconds.
    until: u64,
}

/// Returns the acknowledged evacuations, each until the same operator first requested its end.
fn evacuations(commands: &[Command]) -> Vec<Evacuation> {
    let mut found = Vec::new();
    for (index, command) in commands.iter().enumerate() {
        let (CommandKind::Evacuation { zone, begin: true }, Some(acknowledged_at)) =
            (&command.kind, command.acknowledged_at)
        else {
            continue;
        };
        let ends = CommandKind::Evacuation {
            zone: zone.clone(),
            begin: false,
        };
        let mut after = commands[index..]
            .iter()
            .filter(|c| c.operator == command.operator);
        let until = after.find(|c| c.kind == ends).map_or(u64::MAX, |c| c.sent_at);
        found.push(Evacuation {
            zone: zone.clone(),
            acknowledged_at,
            until,
        });
    }
    found
}
