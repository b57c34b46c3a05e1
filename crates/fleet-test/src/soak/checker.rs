//! Whether a system that keeps the rules can have shown what was seen. The rules bind nodes in
//! touch: whose own process ran undisturbed for a while, while the core was settled.

use super::observations::{Ending, Hold, Observations, Order, OrderKind, Request, Run, Trouble, TroubleKind};
use std::collections::{BTreeMap, HashMap};

/// Bounds of the settings that a soak runs with, ms.
mod bounds {
    /// A node is in touch if nothing has befallen it for so long (`Contact`).
    pub const CONTACT: u64 = 4000;
    /// A worker that drains may get requests for so long (`Drain`).
    pub const DRAIN: u64 = 2500;
    /// An evacuated zone may get requests for so long (`Evacuation`).
    pub const EVACUATION: u64 = 5000;
    /// A node may go by the configuration before for so long (`ConfigApply`).
    pub const CONFIG_APPLY: u64 = 2000;
    /// From SIGTERM until a process is killed (`GracePeriod`).
    pub const GRACE_PERIOD: u64 = 6000;
    /// A connection that ends so soon may not have been read (`LossSlack`).
    pub const LOSS_SLACK: u64 = 200;
    /// The list's delay, and that of the parties' own clocks.
    pub const LAG: u64 = 200;
    /// Two workers may hold the same keys for so long.
    pub const SHARED_KEYS: u64 = 500;
    /// What is sent no later than this after SIGTERM may be cut in the last sixth of the
    /// grace period.
    pub const EARLY_AFTER_TERM: u64 = 3000;
}

/// Requests that a node may cut at other times than around planned work, requests.
const CUT_WITHOUT_CAUSE: usize = 3;

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The name of the rule.
    pub rule: &'static str,
    /// When, ms.
    pub at: u64,
    /// What was seen.
    pub what: String,
    /// Words by which log lines about it are found.
    pub words: Vec<String>,
}

/// Every breach of a rule that was seen, in the order of time.
pub fn violations(seen: &Observations) -> Vec<Violation> {
    let checker = Checker::new(seen);
    let mut found = Vec::new();
    checker.check_runs(&mut found);
    checker.check_answers(&mut found);
    checker.check_losses(&mut found);
    checker.check_evacuations(&mut found);
    checker.check_draining(&mut found);
    checker.check_routes(&mut found);
    checker.check_orders(&mut found);
    checker.check_holders(&mut found);
    found.sort_by_key(|violation| violation.at);
    found
}

struct Checker<'a> {
    seen: &'a Observations,
    requests: HashMap<&'a str, &'a Request>,
    runs: HashMap<&'a str, Vec<&'a Run>>,
}

impl<'a> Checker<'a> {
    fn new(seen: &'a Observations) -> Checker<'a> {
        let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
        for run in &seen.runs {
            runs.entry(&run.id).or_default().push(run);
        }
        Checker {
            seen,
            requests: seen.requests.iter().map(|r| (r.id.as_str(), r)).collect(),
            runs,
        }
    }

    fn runs_of(&self, id: &str) -> &[&'a Run] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    /// Whether a node's own process ran undisturbed over a span.
    fn is_undisturbed(&self, node: u8, from: u64, to: u64) -> bool {
        let of_node = self.seen.troubles.iter().filter(|t| t.node == node);
        let disturbs = |t: &Trouble| t.kind != TroubleKind::HungUp && t.at <= to && t.until >= from;
        !of_node.into_iter().any(disturbs)
    }

    /// Whether nothing has begun or ended at a voter over a span.
    fn is_settled(&self, from: u64, to: u64) -> bool {
        let within = |at: u64| from <= at && at <= to;
        let voters = self.seen.troubles.iter().filter(|t| t.is_voter);
        !voters
            .filter(|t| t.kind != TroubleKind::HungUp)
            .any(|t| within(t.at) || within(t.until))
    }

    fn in_touch(&self, node: u8, at: u64) -> bool {
        let from = at.saturating_sub(bounds::CONTACT);
        self.is_undisturbed(node, from, at) && self.is_settled(from, at)
    }

    /// TWICE, REFUSED.
    fn check_runs(&self, found: &mut Vec<Violation>) {
        for (id, runs) in &self.runs {
            let Some(request) = self.requests.get(id).filter(|r| !r.is_repeatable) else {
                continue;
            };
            if runs.len() > 1 {
                found.push(violation("TWICE", request, runs, "ran more than once"));
            }
            if let Ending::Answered { status, .. } = request.ending {
                if [408, 421, 429, 503].contains(&status) {
                    let what = format!("ran, and was answered with {status}");
                    found.push(violation("REFUSED", request, runs, &what));
                }
            }
        }
    }

    /// MIXED.
    fn check_answers(&self, found: &mut Vec<Violation>) {
        for request in &self.seen.requests {
            if matches!(request.ending, Ending::Answered { is_own: false, .. }) {
                let runs = self.runs_of(&request.id);
                found.push(violation("MIXED", request, runs, "got another's answer"));
            }
        }
    }

    /// LOST: around the end of a node in order, and on the whole.
    fn check_losses(&self, found: &mut Vec<Violation>) {
        let mut without_cause: BTreeMap<u8, Vec<&Request>> = BTreeMap::new();
        let cut = self.seen.requests.iter().filter(|r| r.ending == Ending::Closed);
        for request in cut.filter(|r| r.ended_at < r.sent_at + r.deadline_ms) {
            let runs = self.runs_of(&request.id);
            let was_read = !runs.is_empty() || request.ended_at > request.sent_at + bounds::LOSS_SLACK;
            if !was_read || runs.iter().any(|run| self.has_broken_off(run, request)) {
                continue;
            }
            let own = self.seen.troubles.iter().filter(|t| t.node == request.node);
            let mut around = own.filter(|t| {
                let until = t.until.saturating_add(bounds::CONTACT);
                t.at <= request.ended_at && request.sent_at.saturating_sub(bounds::CONTACT) <= until
            });
            let term = around.clone().find(|t| {
                t.kind == TroubleKind::Terminated
                    && t.at <= request.ended_at
                    && request.ended_at <= t.at + bounds::GRACE_PERIOD + 1000
            });
            let is_unplanned = around.any(|t| matches!(t.kind, TroubleKind::Killed | TroubleKind::Frozen));
            match term {
                _ if is_unplanned => {}
                Some(term) if is_excused(term, request, runs) => {}
                Some(term) => {
                    let after_ms = request.ended_at - term.at;
                    let what = format!("was cut off {after_ms} ms after SIGTERM");
                    found.push(violation("LOST", request, runs, &what));
                }
                None if !runs.is_empty() => without_cause.entry(request.node).or_default().push(request),
                None => {}
            }
        }
        for (node, requests) in without_cause {
            if let Some(last) = requests.get(CUT_WITHOUT_CAUSE) {
                let what = format!(
                    "is one of {} that node {node} cut without a cause",
                    requests.len()
                );
                found.push(violation("LOST", last, self.runs_of(&last.id), &what));
            }
        }
    }

    /// Whether the worker of a run ended within it.
    fn has_broken_off(&self, run: &Run, request: &Request) -> bool {
        let ended_at = self.seen.workers.get(&run.worker).and_then(|w| w.ended_at);
        ended_at.is_some_and(|at| at >= run.began_at && at <= request.ended_at)
    }

    /// EVAC.
    fn check_evacuations(&self, found: &mut Vec<Violation>) {
        for evacuation in evacuations(&self.seen.orders) {
            let from = evacuation.acknowledged_at + bounds::EVACUATION;
            let within = |run: &&Run| run.began_at > from && run.began_at < evacuation.until;
            let in_zone = |run: &&Run| {
                let facts = self.seen.workers.get(&run.worker);
                facts.is_some_and(|w| w.zone == evacuation.zone)
            };
            for run in self.seen.runs.iter().filter(within).filter(in_zone) {
                let Some(request) = self.requests.get(run.id.as_str()) else {
                    continue;
                };
                if self.in_touch(request.node, run.began_at) {
                    let after_ms = run.began_at - evacuation.acknowledged_at;
                    let what = format!(
                        "reached {} of zone {} {after_ms} ms after its evacuation was acknowledged",
                        run.worker, evacuation.zone
                    );
                    let mut breach = violation("EVAC", request, &[run], &what);
                    breach.words = vec![format!("zone={} ", evacuation.zone)];
                    found.push(breach);
                }
            }
        }
    }

    /// DRAIN.
    fn check_draining(&self, found: &mut Vec<Violation>) {
        for run in &self.seen.runs {
            let facts = self.seen.workers.get(&run.worker);
            let draining_at = facts.and_then(|w| w.draining_at);
            let is_late = draining_at.is_some_and(|at| run.began_at > at + bounds::DRAIN + bounds::LAG);
            let Some(request) = self.requests.get(run.id.as_str()).filter(|_| is_late) else {
                continue;
            };
            if self.in_touch(request.node, run.began_at) {
                let what = format!("reached {}, which drains", run.worker);
                found.push(violation("DRAIN", request, &[run], &what));
            }
        }
    }

    /// CONFIG: the route that comes and goes.
    fn check_routes(&self, found: &mut Vec<Violation>) {
        let is_on_route = |r: &&Request| r.path.starts_with(super::Routes::EXTRA);
        for request in self.seen.requests.iter().filter(is_on_route) {
            if !self.in_touch(request.node, request.sent_at) {
                continue;
            }
            let allowed = self.routes_allowed(request);
            let runs = self.runs_of(&request.id);
            let is_refused = matches!(request.ending, Ending::Answered { status: 404, .. });
            if is_refused && allowed == [true] {
                found.push(violation(
                    "CONFIG",
                    request,
                    runs,
                    "got 404, though its route is there",
                ));
            }
            if !runs.is_empty() && allowed == [false] {
                found.push(violation(
                    "CONFIG",
                    request,
                    runs,
                    "ran, though its route is dropped",
                ));
            }
        }
    }

    /// Whether the route is there, by each configuration that may be in force for a request.
    fn routes_allowed(&self, request: &Request) -> Vec<bool> {
        let mut allowed = Vec::new();
        let configurations: Vec<(&Order, bool)> = self.configurations().collect();
        for (place, (order, has_route)) in configurations.iter().enumerate() {
            let is_over = configurations[place + 1..].iter().any(|(later, _)| {
                let acknowledged_at = later.acknowledged_at;
                acknowledged_at.is_some_and(|at| at + bounds::CONFIG_APPLY < request.sent_at)
            });
            if order.sent_at <= request.ended_at && !is_over && !allowed.contains(has_route) {
                allowed.push(*has_route);
            }
        }
        allowed
    }

    fn configurations(&self) -> impl Iterator<Item = (&'a Order, bool)> {
        self.seen.orders.iter().filter_map(|order| match order.kind {
            OrderKind::Configuration { has_extra_route, .. } => Some((order, has_extra_route)),
            OrderKind::Evacuation { .. } => None,
        })
    }

    /// CONFIG: an order that was refused, and what was read back.
    fn check_orders(&self, found: &mut Vec<Violation>) {
        for order in self.seen.orders.iter().filter(|o| o.is_refused) {
            found.push(Violation {
                rule: "CONFIG",
                at: order.sent_at,
                what: format!("{:?} was refused, though it was proper", order.kind),
                words: Vec::new(),
            });
        }
        let acknowledged = self.seen.orders.iter().filter(|o| o.acknowledged_at.is_some());
        let versions = acknowledged.filter_map(|order| match order.kind {
            OrderKind::Configuration { version, .. } => Some(version),
            OrderKind::Evacuation { .. } => None,
        });
        let newest = versions.max().unwrap_or(0);
        if let Some((read, at)) = self.seen.read_back.filter(|(read, _)| *read < newest) {
            found.push(Violation {
                rule: "CONFIG",
                at,
                what: format!("version {read} is read back, {newest} was acknowledged"),
                words: vec!["event=configuration".into()],
            });
        }
    }

    /// OWNER.
    fn check_holders(&self, found: &mut Vec<Violation>) {
        let mut holds: Vec<&Hold> = self.seen.holds.iter().filter(|h| h.since < h.until).collect();
        holds.sort_by_key(|h| h.since);
        for (place, later) in holds.iter().enumerate() {
            let earlier = holds[..place].iter();
            for earlier in earlier.filter(|h| h.worker != later.worker && h.until > later.since) {
                let keys = (earlier.from.max(later.from), earlier.to.min(later.to));
                let span = (later.since, earlier.until.min(later.until));
                if keys.0 > keys.1 {
                    continue;
                }
                let shared_ms = span.1 - span.0;
                let both_run =
                    self.has_run(&earlier.worker, keys, span) && self.has_run(&later.worker, keys, span);
                if shared_ms > bounds::SHARED_KEYS || both_run {
                    found.push(Violation {
                        rule: "OWNER",
                        at: span.0,
                        what: format!(
                            "{} (token {}) and {} (token {}) both held keys {} to {} for {shared_ms} ms",
                            earlier.worker, earlier.token, later.worker, later.token, keys.0, keys.1
                        ),
                        words: vec![
                            format!("worker={} ", earlier.worker),
                            format!("worker={} ", later.worker),
                        ],
                    });
                }
            }
        }
    }

    /// Whether a worker began requests on keys in a span.
    fn has_run(&self, worker: &str, keys: (u32, u32), span: (u64, u64)) -> bool {
        let mut runs = self.seen.runs.iter().filter(|run| run.worker == worker);
        runs.any(|run| {
            let on_keys = run.key.is_some_and(|key| keys.0 <= key && key <= keys.1);
            on_keys && span.0 <= run.began_at && run.began_at < span.1
        })
    }
}

/// Whether a request may be cut by the end of a node: its worker was at work in the last sixth of
/// the grace period, and it was sent early.
fn is_excused(term: &Trouble, request: &Request, runs: &[&Run]) -> bool {
    let last_sixth = term.at + bounds::GRACE_PERIOD * 5 / 6;
    let at_work = |run: &&Run| run.ended_at.is_none_or(|at| at >= last_sixth);
    let is_early = request.sent_at <= term.at + bounds::EARLY_AFTER_TERM;
    is_early && request.ended_at >= last_sixth && runs.iter().any(at_work)
}

/// An evacuation that was acknowledged.
struct Evacuation {
    zone: String,
    acknowledged_at: u64,
    /// When its end was first asked for, ms.
    until: u64,
}

/// The evacuations that operators began, each until the same operator first asked for its end.
fn evacuations(orders: &[Order]) -> Vec<Evacuation> {
    let mut found = Vec::new();
    for (place, order) in orders.iter().enumerate() {
        let (OrderKind::Evacuation { zone, begin: true }, Some(acknowledged_at)) =
            (&order.kind, order.acknowledged_at)
        else {
            continue;
        };
        let ends = OrderKind::Evacuation {
            zone: zone.clone(),
            begin: false,
        };
        let mut after = orders[place..].iter().filter(|o| o.operator == order.operator);
        let until = after.find(|o| o.kind == ends).map_or(u64::MAX, |o| o.sent_at);
        found.push(Evacuation {
            zone: zone.clone(),
            acknowledged_at,
            until,
        });
    }
    found
}

fn violation(rule: &'static str, request: &Request, runs: &[&Run], what: &str) -> Violation {
    let at = request.sent_at;
    let traces: Vec<String> = runs
        .iter()
        .map(|run| format!("{} from {} to {:?}", run.worker, run.began_at, run.ended_at))
        .collect();
    Violation {
        rule,
        at,
        what: format!(
            "{} {} {what}; sent to node {} at {at}, ended at {}: {:?}; ran at {traces:?}",
            request.id, request.path, request.node, request.ended_at, request.ending
        ),
        words: vec![request.id.clone()],
    }
}
