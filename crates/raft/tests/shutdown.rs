//! Graceful shutdown of a voter: leadership transfer, replacement of its vote, and replication
//! of entries that only it holds.

mod cluster;

use cluster::*;
use raft::{can_shut_down, is_durable, next_membership, RaftNode};

const SIX_VOTERS: [usize; 6] = [0, 0, 1, 1, 2, 2];

fn find_leader(cluster: &Cluster) -> usize {
    let is_leader = |m: &Machine| m.node.as_ref().is_some_and(RaftNode::is_established_leader);
    cluster
        .machines
        .iter()
        .position(is_leader)
        .expect("no established leader")
}

fn node(cluster: &mut Cluster, i: usize) -> &mut RaftNode {
    cluster.machines[i]
        .node
        .as_mut()
        .expect("the node is not running")
}

fn propose(cluster: &mut Cluster) -> u64 {
    let i = find_leader(cluster);
    node(cluster, i)
        .propose(vec![1])
        .expect("the leader rejected the proposal")
        .index
}

/// Runs the cluster until the condition holds and returns the elapsed time in milliseconds.
fn run_until(cluster: &mut Cluster, limit_ms: u64, condition: impl Fn(&Cluster) -> bool) -> u64 {
    let started_at = cluster.now;
    while !condition(cluster) {
        assert!(
            cluster.now < started_at + limit_ms,
            "the condition did not hold within {limit_ms} ms"
        );
        cluster.tick();
    }
    cluster.now - started_at
}

fn voters(cluster: &Cluster) -> usize {
    cluster
        .leader()
        .map_or(0, |leader_node| leader_node.membership().voters.len())
}

#[test]
fn rolling_restart_keeps_the_membership() {
    let mut cluster = Cluster::new(&SIX_VOTERS, next_membership);
    cluster.changes = 0;
    for i in 0..SIX_VOTERS.len() {
        cluster.begin_shutdown(i, true);
        let elapsed_ms = run_until(&mut cluster, MIN_SHUTDOWN_MS + 500, |cluster| {
            cluster.machines[i].node.is_none()
        });
        println!("machine {i} shut down after {elapsed_ms} ms");
        cluster.run(RESTART_MS + 1500);
        assert!(cluster.machines[i].node.is_some() && cluster.leader().is_some());
    }
    assert_eq!(cluster.changes, 0);
}

/// Nine voters tolerate a further loss while one is dead, so a dead voter is given time to
/// return. Six voters do not, so they remove it early.
#[test]
fn voter_that_shut_down_is_removed_sooner_than_an_unresponsive_one() {
    let nine_voters: &[usize] = &[0, 0, 0, 1, 1, 1, 2, 2, 2];
    let removal_times_ms = [
        (nine_voters, true),
        (nine_voters, false),
        (&SIX_VOTERS, true),
        (&SIX_VOTERS, false),
    ]
    .map(|(regions, is_graceful)| {
        let mut cluster = Cluster::new(regions, next_membership);
        let i = (find_leader(&cluster) + 1) % regions.len();
        if is_graceful {
            cluster.begin_shutdown(i, false);
            run_until(&mut cluster, MIN_SHUTDOWN_MS + 500, |cluster| {
                cluster.machines[i].node.is_none()
            });
        } else {
            cluster.stop(i, true);
        }
        run_until(&mut cluster, 7000, |cluster| voters(cluster) == regions.len() - 1)
    });
    println!("removed after {removal_times_ms:?} ms");
    let urgent_range_ms = TIMEOUTS.urgent_removal_ms..TIMEOUTS.urgent_removal_ms + 300;
    assert!(
        urgent_range_ms.contains(&removal_times_ms[0]) && removal_times_ms[1] > TIMEOUTS.removal_ms,
        "{removal_times_ms:?}"
    );
    assert!(
        urgent_range_ms.contains(&removal_times_ms[2]) && urgent_range_ms.contains(&removal_times_ms[3]),
        "{removal_times_ms:?}"
    );
}

/// Three voters tolerate the loss of one. A fourth machine, in the region of one of them, is
/// available as a standby.
#[test]
fn standby_replaces_a_voter_before_it_shuts_down() {
    let mut cluster = Cluster::new(&[0, 1, 2], next_membership);
    let i = (find_leader(&cluster) + 1) % 3;
    cluster.add(cluster.machines[i].region);
    cluster.run(3000);
    assert_eq!(
        voters(&cluster),
        3,
        "a fourth voter would reduce the fault tolerance"
    );
    cluster.begin_shutdown(i, false);
    let id = cluster.machines[3].id;
    let elapsed_ms = run_until(&mut cluster, MIN_SHUTDOWN_MS, |cluster| {
        cluster
            .leader()
            .is_some_and(|leader_node| leader_node.membership().contains(id))
    });
    println!("replaced after {elapsed_ms} ms");
    cluster.run(1000);
    assert!(cluster.machines[i].node.is_none() && voters(&cluster) == 3);
}

/// Guards against losing an entry that is on two of three voters: once one of these has lost
/// its disk, the other is the only holder and stays until the third voter has the entry.
#[test]
fn only_holder_of_an_entry_stays_until_others_hold_it() {
    let mut cluster = Cluster::new(&[0, 1, 2], next_membership);
    let leader = find_leader(&cluster);
    let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.cut_links = vec![(leader, third), (third, leader), (second, third), (third, second)];
    let index = propose(&mut cluster);
    cluster.run(200);
    assert!(node(&mut cluster, leader).commit_index() >= index);
    cluster.stop(second, true);
    cluster.start(second);
    cluster.begin_shutdown(leader, true);
    cluster.run(300);
    cluster.cut_links = vec![(leader, second), (second, leader)];
    cluster.run(MIN_SHUTDOWN_MS + 200);
    assert!(
        cluster.machines[leader].node.is_some(),
        "the only holder of entry {index} stopped"
    );
    let elapsed_ms = run_until(&mut cluster, 4000, |cluster| {
        cluster.machines[leader].node.is_none()
    });
    println!("stayed for another {elapsed_ms} ms");
    cluster.machines[leader].restart_at = None;
    cluster.run(3000);
    let current_leader = find_leader(&cluster);
    assert!(
        node(&mut cluster, current_leader).commit_index() >= index,
        "the entry is lost without that voter"
    );
}

/// One of three voters has just lost its disk. Another one that is told to shut down stays
/// until the new identity of the first is a voter: otherwise fewer than two voters would be
/// left.
#[test]
fn voter_needed_for_the_majority_does_not_shut_down() {
    let mut cluster = Cluster::new(&[0, 1, 2], next_membership);
    let leader = find_leader(&cluster);
    let (second, third) = ((leader + 1) % 3, (leader + 2) % 3);
    cluster.stop(third, true);
    cluster.start(third);
    cluster.begin_shutdown(second, false);
    let elapsed_ms = run_until(&mut cluster, 4000, |cluster| {
        cluster.machines[second].node.is_none()
    });
    println!("stayed for {elapsed_ms} ms");
    assert!(elapsed_ms < MAX_SHUTDOWN_MS);
    cluster.run(300);
    let index = propose(&mut cluster);
    cluster.run(300);
    assert!(
        node(&mut cluster, leader).commit_index() >= index,
        "two of three voters do not commit"
    );
}

/// A leader whose chosen successor becomes unreachable during the transfer remains the leader.
#[test]
fn failed_leadership_transfer_ends_and_proposals_resume() {
    let mut cluster = Cluster::new(&[0, 1, 2], next_membership);
    let leader = find_leader(&cluster);
    node(&mut cluster, leader).transfer_leadership();
    let requests = node(&mut cluster, leader).take_ready().messages;
    let successor_id = &requests.first().expect("no successor was asked").to;
    let successor = cluster
        .machines
        .iter()
        .position(|m| m.id == *successor_id)
        .expect("the successor is not in the cluster");
    cluster.cut_links = (0..3).flat_map(|i| [(i, successor), (successor, i)]).collect();
    cluster.tick();
    assert!(
        node(&mut cluster, leader).propose(vec![1]).is_none(),
        "accepted a proposal during the transfer"
    );
    cluster.run(1000);
    assert_eq!(find_leader(&cluster), leader);
    assert!(
        node(&mut cluster, leader).propose(vec![1]).is_some(),
        "rejected a proposal after the transfer failed"
    );
}

/// Checks which copies of an entry make it durable, depending on which voters are in contact.
#[test]
fn entry_is_durable_once_it_survives_a_tolerated_loss() {
    let mut cluster = Cluster::new(&SIX_VOTERS, next_membership);
    let leader = find_leader(&cluster);
    let contact_ms = TIMEOUTS.contact_ms;
    let is_durable_at = |cluster: &Cluster, index| {
        let node = cluster.machines[leader]
            .node
            .as_ref()
            .expect("the node is not running");
        is_durable(node, index, cluster.now, TOLERANCE, contact_ms)
    };
    let index = propose(&mut cluster);
    assert!(!is_durable_at(&cluster, index), "durable on one disk");
    cluster.run(200);
    assert!(is_durable_at(&cluster, index));
    assert!(!is_durable_at(&cluster, index + 1), "durable without existing");
    // Losing one region is within the tolerated loss, so proposals continue.
    let region = (cluster.machines[leader].region + 1) % 3;
    for i in 0..6 {
        if cluster.machines[i].region == region {
            cluster.stop(i, false);
        }
    }
    let index = propose(&mut cluster);
    cluster.run(200);
    assert!(
        is_durable_at(&cluster, index),
        "not durable before the loss is detected"
    );
    cluster.run(1500);
    assert!(
        is_durable_at(&cluster, index),
        "not durable once the loss is detected"
    );
    let leader_node = cluster.machines[leader]
        .node
        .as_ref()
        .expect("the node is not running");
    let others = leader_node
        .membership()
        .voters
        .iter()
        .filter(|v| v.id != leader_node.id());
    let can_shut_down_now: Vec<bool> = others
        .map(|v| can_shut_down(leader_node, v.id, cluster.now, contact_ms))
        .collect();
    assert_eq!(
        can_shut_down_now.iter().filter(|may_stop| **may_stop).count(),
        2,
        "only the stopped voters may shut down"
    );
}

/// Two of three voters are in one region. Losing that region would stop the cluster, so no
/// entry may be acknowledged, unless the third voter is already the lost one.
#[test]
fn nothing_is_durable_while_one_loss_takes_the_majority() {
    let mut cluster = Cluster::new(&[0, 0, 1], next_membership);
    let index = propose(&mut cluster);
    cluster.run(200);
    let is_durable_at = |cluster: &Cluster| {
        cluster.leader().is_some_and(|leader_node| {
            is_durable(leader_node, index, cluster.now, TOLERANCE, TIMEOUTS.contact_ms)
        })
    };
    assert!(
        cluster
            .leader()
            .is_some_and(|leader_node| leader_node.commit_index() >= index)
            && !is_durable_at(&cluster)
    );
    cluster.stop(2, false);
    cluster.run(3000);
    assert!(is_durable_at(&cluster));
}
