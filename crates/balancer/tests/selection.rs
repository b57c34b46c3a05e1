//! Choice of a worker: locality, ejection, warm-up, deadline, key leases.

use balancer::{AttemptResult, LoadBalancer, Locality, PeerInfo, Selection, SelectionRequest};
use config::{constants as c, settings::Bounds};
use control_state::ControlState;
use protocol::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const CONFIG: &str = r#"{"Version":1,"Limits":{"HeaderMaxBytes":1,"BodyMaxBytes":1,"HeaderTimeout":"1s","IdleTimeout":"1s"},
    "AccessPoints":[{"Host":"h","Rules":[
      {"Name":"free","RouteType":"idempotent","Target":"300ms","Condition":{"PathPrefix":"/a/"},"Treatment":{"Service":"s","Timeout":"2s","AttemptLimit":2}},
      {"Name":"home","RouteType":"non_idempotent","Target":"300ms","Condition":{"PathPrefix":"/b/"},"Treatment":{"Service":"s","Timeout":"2s","HomeRegions":["far"]}}]}],
    "Groups":[{"Name":"s","ConnectionLimit":40,"ColdPeriod":"3s","ColdRateS":6.0}]}"#;

fn state(workers: &[(&str, &str, u64)]) -> ControlState {
    let mut state = ControlState::default();
    let order = ConfigurationCommand {
        base: 0,
        body: CONFIG.into(),
        ..Default::default()
    };
    state.apply(1, &Change::encode(ChangeKind::Replace(order)));
    let put = workers
        .iter()
        .map(|(id, zone, cold_ms)| Worker {
            id: id.to_string(),
            service: "s".into(),
            zone: zone.to_string(),
            slots: 6,
            warmup_ms: *cold_ms,
            warmup_group: 1,
            ..Default::default()
        })
        .collect();
    let warmup_groups = vec![WarmupGroup {
        number: 1,
        nodes: vec![7, 8, 9],
    }];
    let change = WorkersChange {
        put,
        warmup_groups,
        ..Default::default()
    };
    state.apply(2, &Change::encode(ChangeKind::Workers(change)));
    state
}

fn balancer(state: &ControlState) -> LoadBalancer {
    let zones = [("z1", "near"), ("z2", "near"), ("z3", "far")];
    let zones = zones
        .iter()
        .map(|(z, r)| (z.to_string(), r.to_string()))
        .collect();
    let bounds = Bounds {
        retry_ratio: 0.2,
        cold_excess: 1.5,
        cold_slack: 5.0,
        ..Default::default()
    };
    let mut balancer = LoadBalancer::new("z1", zones, bounds, 1);
    balancer.set_state(0, Arc::new(state.clone()));
    balancer.set_peers(peers(7));
    balancer
}

fn peers(own_id: u64) -> PeerInfo {
    PeerInfo {
        locality: Locality {
            nodes: 3,
            nodes_in_zone: 3,
            ..Default::default()
        },
        own_id,
        round_trips: BTreeMap::new(),
    }
}

fn pick(
    balancer: &mut LoadBalancer,
    state: &ControlState,
    path: &str,
    now: u64,
    tried: &[String],
) -> Selection {
    let config = state.configuration.clone().expect("config");
    let route = config.route("h", path).expect("route");
    balancer.choose(
        now,
        &SelectionRequest {
            route,
            key: None,
            service: "s",
            tried,
            remaining_ms: 2000,
            zone: None,
        },
    )
}

fn id(found: &Selection) -> &str {
    match found {
        Selection::Worker(c) => &c.id,
        _ => "",
    }
}

#[test]
fn the_own_zone_first_then_the_region_and_homes_bind() {
    let state = state(&[("own", "z1", 0), ("next", "z2", 0), ("far", "z3", 0)]);
    let mut u = balancer(&state);
    assert_eq!(id(&pick(&mut u, &state, "/a/", 0, &[])), "own");
    assert_eq!(id(&pick(&mut u, &state, "/b/", 0, &[])), "far");
    for _ in 0..3 {
        pick(&mut u, &state, "/a/", 0, &[]);
    }
    assert_eq!(
        id(&pick(&mut u, &state, "/a/", 0, &[])),
        "next",
        "the own zone is busy"
    );
}

#[test]
fn evacuated_draining_and_failing_workers_get_nothing() {
    let mut state = state(&[("own", "z1", 0), ("next", "z2", 0)]);
    let mut u = balancer(&state);
    assert_eq!(id(&pick(&mut u, &state, "/a/", 0, &[])), "own");
    u.observe(10, "own", AttemptResult::Failed);
    assert_eq!(id(&pick(&mut u, &state, "/a/", 20, &[])), "next");
    state.apply(
        3,
        &Change::encode(ChangeKind::Evacuate(EvacuationChange {
            zone: "z2".into(),
            begin: true,
        })),
    );
    u.set_state(20, Arc::new(state.clone()));
    assert_eq!(
        id(&pick(&mut u, &state, "/a/", 5000, &[])),
        "own",
        "left alone for a time only"
    );
    let mut w = (*state.workers["own"]).clone();
    w.draining = true;
    state.apply(
        4,
        &Change::encode(ChangeKind::Workers(WorkersChange {
            put: vec![w],
            removed: vec![],
            ..Default::default()
        })),
    );
    u.set_state(20, Arc::new(state.clone()));
    assert!(matches!(
        pick(&mut u, &state, "/a/", 5000, &[]),
        Selection::Unavailable(_)
    ));
}

#[test]
fn all_nodes_of_a_zone_together_keep_a_cold_worker_within_its_rate() {
    let state = state(&[("cold", "z1", 60_000)]);
    let mut nodes: Vec<(u64, LoadBalancer)> = (6..11).map(|own_id| (own_id, balancer(&state))).collect();
    for (own_id, balancer) in &mut nodes {
        balancer.set_peers(peers(*own_id));
    }
    let mut sent = Vec::new();
    for now in (0..10_000).step_by(10) {
        for (own_id, u) in &mut nodes {
            if let Selection::Worker(_) = pick(u, &state, "/a/", now, &[]) {
                assert!((7..=9).contains(own_id), "only its warm-up group");
                assert!(now >= c::WARMUP_WINDOW_MS, "nobody who has just begun");
                sent.push(now);
                u.observe(now, "cold", AttemptResult::Answered(50.0));
            }
        }
    }
    let most = sent
        .iter()
        .map(|t| sent.iter().filter(|s| **s >= *t && **s < t + 1000).count())
        .max();
    assert!(most <= Some(6 * 3 / 2 + 5), "{most:?}");
    assert!(sent.len() > 30, "and it is not starved: {}", sent.len());
}

#[test]
fn a_request_without_prospect_is_refused_at_once() {
    let state = state(&[("own", "z1", 0)]);
    let mut u = balancer(&state);
    let config = state.configuration.clone().expect("config");
    let route = config.route("h", "/a/").expect("route");
    let mut ask = |remaining_ms| {
        u.choose(
            0,
            &SelectionRequest {
                route,
                key: None,
                service: "s",
                tried: &[],
                remaining_ms,
                zone: None,
            },
        )
    };
    assert!(
        matches!(ask(20), Selection::Unavailable(_)),
        "workers take 100 ms"
    );
    assert_eq!(id(&ask(200)), "own");
}

#[test]
fn who_waits_for_a_key_is_told_how_long() {
    let mut state = state(&[("own", "z1", 0)]);
    let hold = |leaving| KeyLease {
        service: "s".into(),
        to: 9,
        worker: "own".into(),
        fencing_token: 1,
        revoking: leaving,
        ..Default::default()
    };
    let mut after = |leaving: bool, failed: bool| {
        let put = vec![hold(leaving)];
        let index = state.index + 1;
        state.apply(
            index,
            &Change::encode(ChangeKind::KeyLeases(KeyLeaseChange { put })),
        );
        let mut u = balancer(&state);
        let config = state.configuration.clone().expect("config");
        let route = config.route("h", "/a/").expect("route");
        let ask = SelectionRequest {
            route,
            key: Some(3),
            service: "s",
            tried: &[],
            remaining_ms: 2000,
            zone: None,
        };
        for _ in 0..2 {
            // The second of two tries at once is the one that is refused.
            if failed && matches!(u.choose(0, &ask), Selection::Worker(_)) {
                u.observe(0, "own", AttemptResult::Failed);
                u.choose(0, &ask);
            }
        }
        u.choose(0, &ask)
    };
    assert_eq!(id(&after(false, false)), "own");
    assert_eq!(
        after(true, false),
        Selection::Unavailable(c::RETRY_AFTER_HANDOVER_MS)
    );
    assert_eq!(
        after(false, true),
        Selection::Unavailable(c::RETRY_AFTER_HOLDER_LOST_MS)
    );
}

#[test]
fn a_worker_whose_address_went_to_another_draws_nothing_more() {
    let state = state(&[("own", "z1", 0), ("next", "z1", 0)]);
    let mut u = balancer(&state);
    for t in 0..100 {
        // It answers at once that it is not the one: never the quickest.
        let found = pick(&mut u, &state, "/a/", t, &[]);
        if id(&found) == "own" {
            assert!(t < 20, "still drawn at {t}");
            u.observe(t, "own", AttemptResult::Replaced);
        } else {
            u.observe(t, "next", AttemptResult::Answered(100.0));
        }
    }
}

#[test]
fn a_returned_zone_is_taken_for_cold() {
    let mut state = state(&[("own", "z1", 0), ("next", "z2", 0)]);
    let mut u = balancer(&state);
    for (i, begin) in [(3, true), (4, false)] {
        state.apply(
            i,
            &Change::encode(ChangeKind::Evacuate(EvacuationChange {
                zone: "z2".into(),
                begin,
            })),
        );
    }
    u.set_state(100, Arc::new(state.clone()));
    let tried = vec!["own".to_string()];
    for t in 0..50 {
        pick(&mut u, &state, "/a/", t, &[]);
    }
    assert!(
        matches!(
            pick(&mut u, &state, "/a/", 200, &tried),
            Selection::Unavailable(_)
        ),
        "cold, and nobody is named"
    );
    assert_eq!(id(&pick(&mut u, &state, "/a/", 5000, &tried)), "next");
}
