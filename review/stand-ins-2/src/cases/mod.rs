//! The cases, by name.

mod core;
mod download;
mod leave;
mod pipeline;
mod takeback;

use crate::fleet::{Fleet, HOST};
use crate::record::Record;
use crate::worker::Worker;
use crate::Verdict;
use std::io;

/// Services of the configuration.
const SERVICE: &str = "huvo11a";
const OTHER_SERVICE: &str = "kafi81c";

type Play = fn(&Record, bool) -> io::Result<Verdict>;

pub fn find(name: &str) -> Option<Play> {
    match name {
        "download" => Some(download::play),
        "core" => Some(core::play),
        "leave" => Some(leave::play),
        "pipeline" => Some(pipeline::play),
        "takeback" => Some(takeback::play),
        _ => None,
    }
}

/// Returns a configuration with the routes `/read/` (idempotent) and `/pay/` (non_idempotent) to one
/// service, and
/// `/other/` (idempotent) to another one.
fn configuration(version: u64, timeout_ms: u64) -> String {
    let route = |name: &str, kind: &str, service: &str| {
        format!(
            r#"{{"Name":"r-{name}","RouteType":"{kind}","Target":"800ms","Priority":1,"Condition":{{"PathPrefix":"/{name}/"}},"Treatment":{{"Service":"{service}","Timeout":"{timeout_ms}ms","AttemptLimit":2,"HomeRegions":[]}}}}"#
        )
    };
    let group = |name: &str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/health","ConnectionLimit":140,"Protocol":"h1","Tls":false,"ColdPeriod":"3s","ColdRateS":6.0}}"#
        )
    };
    format!(
        r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":16384,"BodyMaxBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}},"AccessPoints":[{{"Host":"{HOST}","Rules":[{},{},{}]}}],"Groups":[{},{}]}}"#,
        route("read", "idempotent", SERVICE),
        route("pay", "non_idempotent", SERVICE),
        route("other", "idempotent", OTHER_SERVICE),
        group(SERVICE),
        group(OTHER_SERVICE),
    )
}

/// The same configuration without the route `/other/`.
fn configuration_without_other(version: u64, timeout_ms: u64) -> String {
    let complete = configuration(version, timeout_ms);
    let from = complete.find(",{\"Name\":\"r-other\"").unwrap_or(0);
    let to = complete.find("]}],\"Groups\"").unwrap_or(from);
    format!("{}{}", &complete[..from], &complete[to..])
}

/// Starts three nodes and a worker of each of these services.
fn start_with_configuration(
    record: &Record,
    configuration: &str,
    services: &[&str],
) -> io::Result<(Fleet, Vec<Worker>)> {
    let net = Fleet::find_net()?;
    let mut workers = Vec::new();
    for (number, service) in services.iter().enumerate() {
        let id = format!("i-7f3a91c{number}");
        workers.push(Worker::start(&id, service, net.worker(1 + number as u8), record)?);
    }
    let fleet = Fleet::start(record, configuration, &workers, net)?;
    Ok((fleet, workers))
}

fn start_with(record: &Record, timeout_ms: u64, services: &[&str]) -> io::Result<(Fleet, Vec<Worker>)> {
    start_with_configuration(record, &configuration(1, timeout_ms), services)
}

/// Starts three nodes and one worker.
fn start(record: &Record, timeout_ms: u64) -> io::Result<(Fleet, Worker)> {
    let (fleet, workers) = start_with(record, timeout_ms, &[SERVICE])?;
    let worker = workers
        .into_iter()
        .next()
        .ok_or_else(|| io::Error::other("no worker"))?;
    Ok((fleet, worker))
}
