//! Hundreds of changes of real size, and members that were away: who comes back
//! catches up within a stated time, whatever its link and however large the state.

use config::Configuration;
use control_state::Outcome;
use protocol::ConfigurationCommand;
use simulation::cluster::Cluster;
use simulation::scenario::large_configuration;

/// 2 Mbit/s, in bytes.
const NARROW: u64 = 250_000;
/// A member that is back counts as there after this time, ms.
const CATCH_UP_MS: u64 = 4000;

#[test]
fn a_large_configuration_is_valid_and_differs_in_one_route() {
    let [one, two] = [7, 8].map(|version| large_configuration(version, 300, false));
    assert_eq!(Configuration::errors(&one), []);
    assert!((70_000..100_000).contains(&one.len()), "{} bytes", one.len());
    let differ = one.iter().zip(&two).filter(|(a, b)| a != b).count();
    assert!(one.len() == two.len() && differ < 100, "{differ} bytes differ");
}

const VOTERS: [(&str, &str); 5] = [("a", "r1"), ("b", "r1"), ("c", "r2"), ("d", "r2"), ("e", "r3")];

fn cluster(seed: u64, routes: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    for (i, (name, region)) in VOTERS.iter().enumerate() {
        cluster.add(name, region, true, true);
        if i == 0 {
            cluster.begin(name);
        }
    }
    cluster.add("x", "r3", false, true);
    cluster.run(5000);
    change(&mut cluster, 1, routes);
    cluster
}

/// Commands a version on top of the one before, until it is taken.
fn change(cluster: &mut Cluster, version: u64, routes: u64) {
    let name = format!("to-{version}");
    let body = large_configuration(version, routes, false);
    for _ in 0..100 {
        let command = ConfigurationCommand {
            base: version - 1,
            body: body.clone(),
            ..Default::default()
        };
        if cluster.command(&name, command) {
            for _ in 0..100 {
                cluster.run(10);
                match cluster.answers.get(&name) {
                    Some(Some(Outcome::Applied | Outcome::AlreadyApplied)) => return,
                    Some(Some(other)) => panic!("version {version}: {other:?}"),
                    Some(None) => break,
                    None => {}
                }
            }
        }
        cluster.run(100);
    }
    panic!("version {version} is never taken");
}

fn version(cluster: &Cluster, name: &str) -> u64 {
    let process = cluster.nodes[name].process.as_ref();
    process.map_or(0, |l| if l.current { l.state.version() } else { 0 })
}

/// Time until a machine that was down during so many changes has caught up, ms.
fn recovery(seed: u64, routes: u64, changes: u64, width: u64, wipe: bool) -> Option<u64> {
    let mut cluster = cluster(seed, routes);
    cluster.end("e", false);
    for v in 2..=changes + 1 {
        change(&mut cluster, v, routes);
    }
    if wipe {
        cluster.wipe("e");
    }
    if width > 0 {
        cluster.bandwidth.insert("e".into(), width);
    }
    let from = cluster.now;
    cluster.start("e");
    while version(&cluster, "e") < changes + 1 {
        cluster.run(10);
        if cluster.now - from > 30_000 {
            return None;
        }
    }
    Some(cluster.now - from)
}

/// Twenty changes of real size, seen by members that were down, empty or narrow.
#[test]
fn whoever_was_away_catches_up() {
    for (routes, width, wipe) in [(100, 0, false), (300, NARROW, false), (300, NARROW, true)] {
        let took = recovery(1, routes, 20, width, wipe);
        println!("{routes} routes, {width} bytes a second, empty {wipe}: {took:?} ms");
        assert!(took.is_some_and(|ms| ms <= CATCH_UP_MS), "{took:?}");
    }
}
