//! Measures how long a member takes that was away during so many changes of real
//! size, on simulated time:
//!
//! ```text
//! cargo run --release -p pebblepond-simulation --example catch_up
//! ```

use simulation::catch_up::{catch_up_ms, cluster, replace_configuration, SLOW_LINK_BYTES_PER_S};
use simulation::cluster::Cluster;

/// Bytes that the busiest voter sends, and that one writes, for each change of one
/// route.
fn costs(changes: u64) -> (u64, usize) {
    let mut cluster = cluster(1, 300);
    let disk = |cluster: &Cluster| cluster.nodes["b"].disk.as_ref().map_or(0, |d| d.written);
    let (before, from) = (disk(&cluster), cluster.now);
    cluster.measure();
    for v in 2..=changes + 1 {
        replace_configuration(&mut cluster, v, 300);
    }
    let sent = cluster.max_send_rate(true) * (cluster.now - from) / 1000 / changes;
    (sent, (disk(&cluster) - before) / changes as usize)
}

/// The state of 300 routes as it is sent, bytes.
fn state() -> usize {
    let cluster = cluster(1, 300);
    let process = cluster.nodes["a"].process.as_ref();
    process.map_or(0, |l| l.state.to_snapshot().len())
}

fn main() {
    println!("packed state of 300 routes: {} bytes", state());
    let (sent, written) = costs(100);
    println!("for each change of one of 300 routes: {sent} bytes sent by the busiest, {written} written");
    println!("changes | wide, back | 2 Mbit/s, back | 2 Mbit/s, empty");
    for changes in [5, 50, 150, 500] {
        let ms = |width, wipe| catch_up_ms(1, 300, changes, width, wipe).unwrap_or(0);
        println!(
            "{changes} | {} ms | {} ms | {} ms",
            ms(0, false),
            ms(SLOW_LINK_BYTES_PER_S, false),
            ms(SLOW_LINK_BYTES_PER_S, true)
        );
    }
}
