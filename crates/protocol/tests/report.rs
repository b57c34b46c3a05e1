//! Merging of reports.

use protocol::{Demand, KeyCounts, Report, WorkerStats};

fn report(zone: &str, worker: u32, served: u64, response_ms: f32, bucket: u32) -> Report {
    Report {
        zone: zone.into(),
        site: "r".into(),
        interval_ms: 500,
        demand: vec![Demand {
            service: 1,
            group: String::new(),
            count: served,
        }],
        workers: vec![WorkerStats {
            worker,
            response_ms,
            served,
            failed: 1,
        }],
        forwarding_rate: 10.0,
        keys: vec![KeyCounts {
            service: 1,
            buckets: vec![bucket, 9],
            counts: vec![1, 2],
        }],
        ..Default::default()
    }
}

#[test]
fn merged_report_holds_the_sums() {
    let mut sum = report("a", 7, 10, 100.0, 3);
    sum.merge(report("a", 7, 30, 200.0, 4));
    sum.merge(report("b", 8, 5, 50.0, 3));
    let demand: Vec<_> = sum.demand.iter().map(|d| (d.group.as_str(), d.count)).collect();
    assert_eq!(demand, [("", 40), ("b", 5)]);
    let workers: Vec<_> = sum
        .workers
        .iter()
        .map(|w| (w.worker, w.served, w.failed, w.response_ms))
        .collect();
    assert_eq!(workers, [(7, 40, 2, 175.0), (8, 5, 1, 50.0)]);
    assert_eq!((sum.forwarding_rate, sum.interval_ms), (30.0, 500));
    assert_eq!(
        (&sum.keys[0].buckets, &sum.keys[0].counts),
        (&vec![3, 4, 9], &vec![2, 1, 6])
    );
}
