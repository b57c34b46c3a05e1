//! Outlier detection by the outcomes of attempts.

use config::constants as c;
use control_state::ControlState;
use placement::OutlierDetector;
use protocol::{name_hash, Change, ChangeKind, Worker, WorkerStats, WorkersChange};
use std::collections::BTreeSet;
use std::sync::Arc;

fn state(count: usize) -> ControlState {
    let mut state = ControlState::default();
    let put = (0..count).map(|i| Worker {
        id: format!("w{i}"),
        service: "s".into(),
        ..Default::default()
    });
    let put = put.collect();
    state.apply(
        1,
        &Change::encode(ChangeKind::Workers(WorkersChange {
            put,
            ..Default::default()
        })),
    );
    state
}

/// What a second of traffic shows when these workers fail two in five, and
/// those record eight times as long.
fn record_second(detector: &mut OutlierDetector, count: usize, grey: &[usize], slow: &[usize]) {
    for i in 0..count {
        let failed = if grey.contains(&i) { 4 } else { 0 };
        detector.record(&[WorkerStats {
            worker: name_hash(&format!("w{i}")),
            response_ms: if slow.contains(&i) { 800.0 } else { 80.0 + i as f32 },
            served: 10 - failed,
            failed,
        }]);
    }
}

#[test]
fn workers_that_fail_or_lag_are_ejected_and_longer_the_next_time() {
    let mut state = state(20);
    let mut detector = OutlierDetector::default();
    let names = |set: &BTreeSet<String>| set.iter().cloned().collect::<Vec<_>>().join(" ");
    let mut last_seen = 0;
    for t in (0..20_000).step_by(500) {
        record_second(&mut detector, 20, &[3], &[7]);
        let ejected = detector.evaluate(t, &state);
        assert!(
            ejected.iter().all(|id| id == "w3" || id == "w7"),
            "{}",
            names(&ejected)
        );
        if ejected.contains("w3") && ejected.contains("w7") {
            last_seen = t;
        }
        if t == 1000 {
            assert_eq!(names(&ejected), "w3 w7");
        }
        state.ejected = Arc::new(ejected);
    }
    assert!(last_seen > 15_000, "what stays ill is ejected again: {last_seen}");
    // Well again: taken back for good.
    for t in (20_000..40_000).step_by(500) {
        record_second(&mut detector, 20, &[], &[]);
        state.ejected = Arc::new(detector.evaluate(t, &state));
    }
    assert!(state.ejected.is_empty());
}

#[test]
fn a_new_leader_ejects_nobody_at_first_but_keeps_the_ejected() {
    let mut state = state(20);
    state.ejected = Arc::new(BTreeSet::from(["w9".to_string()]));
    let mut detector = OutlierDetector::default();
    detector.reset(0);
    for t in (500..c::OUTLIER_SETTLE_MS).step_by(500) {
        record_second(&mut detector, 20, &[3], &[]);
        let ejected = detector.evaluate(t, &state);
        assert!(!ejected.contains("w3"), "at {t}");
        assert_eq!(ejected.contains("w9"), t < 500 + c::EJECTION_MS, "at {t}");
        state.ejected = Arc::new(ejected);
    }
    record_second(&mut detector, 20, &[3], &[]);
    assert!(detector.evaluate(c::OUTLIER_SETTLE_MS, &state).contains("w3"));
}

#[test]
fn what_strikes_all_ejects_nobody_and_never_more_than_the_cap() {
    let state = state(20);
    let mut detector = OutlierDetector::default();
    for t in (0..5000).step_by(500) {
        record_second(&mut detector, 20, &(0..20).collect::<Vec<_>>(), &[]);
        assert!(detector.evaluate(t, &state).is_empty(), "all fail alike");
    }
    let mut detector = OutlierDetector::default();
    for t in (0..5000).step_by(500) {
        record_second(&mut detector, 20, &(0..9).collect::<Vec<_>>(), &[]);
        assert!(detector.evaluate(t, &state).len() <= 6);
    }
}
