//! What the reports of the proxies add up to.

use crate::place::{Inputs, Placement};
use config::{constants as c, WeightedService};
use control_state::ControlState;
use protocol::{name_hash, Report};
use std::collections::{BTreeMap, BTreeSet};

struct Latest {
    at: u64,
    report: Report,
}

/// What a site carries of which nobody says how much it can, requests a second.
const UNBOUNDED: f64 = 1e6;

/// Rates, capacities and distances as the leader knows them.
#[derive(Default)]
pub struct Ledger {
    /// Requests counted since the last decision.
    counted: BTreeMap<(u32, String), f64>,
    since: Option<u64>,
    /// Smoothed rates in requests a second.
    rates: BTreeMap<(u32, String), f64>,
    /// Reports by node and region: a node passes on those of its followers.
    latest: BTreeMap<(u64, String), Latest>,
    /// Of each worker: sum of answer times in ms, answers, failures; all fade.
    answers: BTreeMap<u32, (f64, f64, f64)>,
}

impl Ledger {
    pub fn take(&mut self, now: u64, node: u64, report: Report) {
        self.since.get_or_insert(now.saturating_sub(report.interval_ms));
        for d in &report.demand {
            let group = if d.group.is_empty() {
                &report.zone
            } else {
                &d.group
            };
            *self.counted.entry((d.service, group.clone())).or_default() += d.count as f64;
        }
        for w in &report.workers {
            let sum = self.answers.entry(w.worker).or_default();
            sum.0 += f64::from(w.response_ms) * w.served as f64;
            sum.1 += w.served as f64;
            sum.2 += w.failed as f64;
        }
        self.latest
            .insert((node, report.site.clone()), Latest { at: now, report });
    }

    /// Closes the period that ends now: smooths the rates and returns what a
    /// decision rests on. A group that nobody reports of keeps a rate that
    /// fades, and never falls below the threshold for deletion, so that
    /// silence alone takes no site from it. `sites_up` are the sites whose
    /// proxies are up; without it, no proxies stand before a site's workers.
    pub fn inputs(
        &mut self,
        now: u64,
        stage: &ControlState,
        zones: &BTreeMap<String, String>,
        sites_up: Option<&BTreeSet<String>>,
    ) -> Inputs {
        self.smooth(now);
        self.latest
            .retain(|_, l| now.saturating_sub(l.at) < c::REPORT_STALE_MS);
        let mut inputs = Inputs {
            sites: zones
                .values()
                .cloned()
                .collect::<BTreeSet<_>>()
                .into_iter()
                .collect(),
            ..Default::default()
        };
        let Some(config) = &stage.configuration else {
            return inputs;
        };
        for service in config.services.keys() {
            for zone in zones.keys() {
                let key = (name_hash(service), zone.clone());
                let rate = self
                    .rates
                    .get(&key)
                    .copied()
                    .unwrap_or(0.0)
                    .max(c::DELETION_THRESHOLD);
                inputs.demand.insert((service.to_string(), zone.clone()), rate);
            }
        }
        self.capacities(stage, zones, &mut inputs);
        for site in &inputs.sites {
            let told: f64 = self
                .latest
                .values()
                .filter(|l| l.report.site == *site)
                .map(|l| l.report.forwarding_rate)
                .sum();
            // A site that is up but whose reports are missing counts as able.
            let carry = match (sites_up.map(|up| up.contains(site)), told > 0.0) {
                (Some(false), _) => 0.0,
                (Some(true), true) => told,
                (Some(true), false) | (None, _) => UNBOUNDED,
            };
            inputs.carry.insert(site.clone(), carry);
        }
        for (zone, home) in zones {
            for site in &inputs.sites {
                let distance = if site == home {
                    c::LOCAL_RTT_MS
                } else {
                    self.rtt(home, site)
                };
                inputs.distance.insert((zone.clone(), site.clone()), distance);
            }
        }
        inputs
    }

    fn smooth(&mut self, now: u64) {
        let Some(since) = self.since.replace(now) else {
            return;
        };
        let seconds = now.saturating_sub(since) as f64 / 1000.0;
        if seconds <= 0.0 {
            return;
        }
        for (sum, served, failed) in self.answers.values_mut() {
            *sum *= 1.0 - c::RATE_SMOOTHING;
            *served *= 1.0 - c::RATE_SMOOTHING;
            *failed *= 1.0 - c::RATE_SMOOTHING;
        }
        self.answers
            .retain(|_, (_, served, failed)| *served + *failed > 0.1);
        let counted = std::mem::take(&mut self.counted);
        for rate in self.rates.values_mut() {
            *rate *= 1.0 - c::RATE_SMOOTHING;
        }
        for (key, count) in counted {
            let fresh = count / seconds;
            match self.rates.get_mut(&key) {
                Some(rate) => *rate += c::RATE_SMOOTHING * fresh,
                None => {
                    self.rates.insert(key, fresh);
                }
            }
        }
    }

    /// Slots over answer time, for workers that are listed as ready, may be
    /// used and do not mostly fail.
    fn capacities(&self, stage: &ControlState, zones: &BTreeMap<String, String>, inputs: &mut Inputs) {
        let Some(config) = &stage.configuration else {
            return;
        };
        let mut homes: BTreeMap<&str, Option<BTreeSet<&str>>> = BTreeMap::new();
        for route in config.hosts.values().flatten() {
            for WeightedService { service, .. } in &route.split {
                let known = homes.entry(service).or_insert_with(|| Some(BTreeSet::new()));
                if route.home_regions.is_empty() {
                    *known = None;
                } else if let Some(set) = known {
                    set.extend(route.home_regions.iter().map(String::as_str));
                }
            }
        }
        for w in stage.workers.values() {
            let Some(site) = zones.get(&w.zone) else { continue };
            if w.draining || stage.evacuated.contains_key(&w.zone) || stage.ejected.contains(&w.id) {
                continue;
            }
            if let Some(Some(allowed)) = homes.get(w.service.as_str()) {
                if !allowed.contains(site.as_str()) {
                    continue;
                }
            }
            let (sum, served, failed) = self.answers.get(&name_hash(&w.id)).copied().unwrap_or_default();
            if failed > served {
                continue;
            }
            let answer = if served > 0.5 {
                (sum / served).max(1.0)
            } else {
                c::DEFAULT_RESPONSE_MS
            };
            let able = f64::from(w.slots.max(1)) * 1000.0 / answer;
            *inputs
                .capacity
                .entry((w.service.clone(), site.clone()))
                .or_default() += able;
        }
    }

    fn rtt(&self, from: &str, to: &str) -> f64 {
        let told: Vec<f64> = self
            .latest
            .values()
            .filter(|l| l.report.site == from)
            .flat_map(|l| &l.report.round_trips)
            .filter(|d| d.site == name_hash(to) && d.rtt_ms > 0.0)
            .map(|d| f64::from(d.rtt_ms))
            .collect();
        if told.is_empty() {
            c::DEFAULT_RTT_MS
        } else {
            told.iter().sum::<f64>() / told.len() as f64
        }
    }
}

/// Whether two placements differ by enough to be worth sending.
pub fn differs(a: &Placement, b: &Placement) -> bool {
    let keys: BTreeSet<_> = a.keys().chain(b.keys()).collect();
    keys.into_iter().any(|key| {
        let (Some(x), Some(y)) = (a.get(key), b.get(key)) else {
            return true;
        };
        let sites: BTreeSet<_> = x.keys().chain(y.keys()).collect();
        sites.into_iter().any(|s| {
            let (p, q) = (x.get(s).copied().unwrap_or(0.0), y.get(s).copied().unwrap_or(0.0));
            (p - q).abs() >= c::FRACTION_STEP || (p == 0.0) != (q == 0.0)
        })
    })
}
