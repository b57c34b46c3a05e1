//! Measures on simulated time how long a member takes to catch up after it was absent during
//! changes of realistic size:
//!
//! ```text
//! cargo run --release -p pebblepond-simulation --example catch_up
//! ```

use simulation::catch_up::{catch_up_ms, cluster, replace_configuration, SLOW_LINK_BYTES_PER_S};
use simulation::cluster::Cluster;

/// Returns the bytes that the busiest voter sends, and that one voter writes, per change of one
/// route.
fn bytes_per_change(changes: u64) -> (u64, usize) {
    let mut cluster = cluster(1, 300);
    let bytes_written = |cluster: &Cluster| cluster.nodes["b"].disk.as_ref().map_or(0, |d| d.written);
    let (before, from) = (bytes_written(&cluster), cluster.now);
    cluster.measure();
    for v in 2..=changes + 1 {
        replace_configuration(&mut cluster, v, 300);
    }
    let sent = cluster.max_send_rate(true) * (cluster.now - from) / 1000 / changes;
    (sent, (bytes_written(&cluster) - before) / changes as usize)
}

/// Returns the size of the snapshot of a state with 300 routes, in bytes.
fn snapshot_bytes() -> usize {
    let cluster = cluster(1, 300);
    let process = cluster.nodes["a"].process.as_ref();
    process.map_or(0, |p| p.state.to_snapshot().len())
}

fn main() {
    println!("packed state of 300 routes: {} bytes", snapshot_bytes());
    let (sent, written) = bytes_per_change(100);
    println!("for each change of one of 300 routes: {sent} bytes sent by the busiest, {written} written");
    println!("changes | wide, back | 2 Mbit/s, back | 2 Mbit/s, empty");
    for changes in [5, 50, 150, 500] {
        let ms = |bandwidth, wipe| catch_up_ms(1, 300, changes, bandwidth, wipe).unwrap_or(0);
        println!(
            "{changes} | {} ms | {} ms | {} ms",
            ms(0, false),
            ms(SLOW_LINK_BYTES_PER_S, false),
            ms(SLOW_LINK_BYTES_PER_S, true)
        );
    }
}
