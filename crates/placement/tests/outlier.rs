//! Outlier detection based on the outcomes of attempts.

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

/// Records a second of traffic in which the `failing` workers fail two of five requests, and the
/// `slow` workers take eight to ten times as long.
fn record_second(detector: &mut OutlierDetector, count: usize, failing: &[usize], slow: &[usize]) {
    for i in 0..count {
        let failed = if failing.contains(&i) { 4 } else { 0 };
        detector.record(&[WorkerStats {
            worker: name_hash(&format!("w{i}")),
            response_ms: if slow.contains(&i) { 800.0 } else { 80.0 + i as f32 },
            served: 10 - failed,
            failed,
        }]);
    }
}

#[test]
fn failing_and_slow_workers_are_ejected_again_while_they_stay_bad() {
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
    assert!(
        last_seen > 15_000,
        "a worker that stays bad must be ejected again: {last_seen}"
    );
    // The workers have recovered and must stay in use.
    for t in (20_000..40_000).step_by(500) {
        record_second(&mut detector, 20, &[], &[]);
        state.ejected = Arc::new(detector.evaluate(t, &state));
    }
    assert!(state.ejected.is_empty());
}

#[test]
fn new_leader_ejects_no_worker_at_first_but_keeps_current_ejections() {
    let mut state = state(20);
    state.ejected = Arc::new(BTreeSet::from(["w9".to_string()]));
    let mut detector = OutlierDetector::default();
    detector.reset(0);
    for t in (500..c::OUTLIER_GRACE_PERIOD_MS).step_by(500) {
        record_second(&mut detector, 20, &[3], &[]);
        let ejected = detector.evaluate(t, &state);
        assert!(!ejected.contains("w3"), "at {t}");
        assert_eq!(ejected.contains("w9"), t < 500 + c::EJECTION_MS, "at {t}");
        state.ejected = Arc::new(ejected);
    }
    record_second(&mut detector, 20, &[3], &[]);
    assert!(detector
        .evaluate(c::OUTLIER_GRACE_PERIOD_MS, &state)
        .contains("w3"));
}

#[test]
fn common_failures_eject_no_worker_and_ejections_are_capped() {
    let state = state(20);
    let mut detector = OutlierDetector::default();
    for t in (0..5000).step_by(500) {
        record_second(&mut detector, 20, &(0..20).collect::<Vec<_>>(), &[]);
        assert!(
            detector.evaluate(t, &state).is_empty(),
            "all workers fail at the same rate"
        );
    }
    let mut detector = OutlierDetector::default();
    for t in (0..5000).step_by(500) {
        record_second(&mut detector, 20, &(0..9).collect::<Vec<_>>(), &[]);
        assert!(detector.evaluate(t, &state).len() <= 6);
    }
}
