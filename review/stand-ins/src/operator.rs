//! The operator: sends an order to one node after another until it has a clear answer.

use crate::http;
use crate::record::Record;
use std::net::SocketAddrV4;
use std::time::{Duration, Instant};

/// Silence after which a caller moves on.
const SILENCE: Duration = Duration::from_secs(1);
/// `Acknowledge`: an order other than a configuration is sent again for no longer.
pub const ACKNOWLEDGE: Duration = Duration::from_secs(6);

/// One route, as a configuration holds it.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub prefix: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
}

pub const HOST: &str = "jepu9.example";

/// A whole configuration; services are named with whether they are divided by key.
pub fn configuration(version: u64, routes: &[Route], services: &[(&str, bool)]) -> String {
    let rules: Vec<String> = routes
        .iter()
        .map(|r| {
            format!(
                r#"{{"Name":"{}","RouteType":"{}","Target":"800ms","Priority":1,"Condition":{{"PathPrefix":"{}"}},"Treatment":{{"Service":"{}","Timeout":"{}ms","AttemptLimit":2,"HomeRegions":[]}}}}"#,
                r.name, r.kind, r.prefix, r.service, r.timeout_ms
            )
        })
        .collect();
    let groups: Vec<String> = services
        .iter()
        .map(|(name, partitioned)| {
            let keys = if *partitioned { r#","Partitioned":true,"WarmUp":"5s","Grants":"invocation""# } else { "" };
            format!(
                r#"{{"Name":"{name}","HealthPath":"/health","ConnectionLimit":140,"Protocol":"h1","Tls":false,"ColdPeriod":"3s","ColdRateS":6.0{keys}}}"#
            )
        })
        .collect();
    format!(
        r#"{{"Version":{version},"Limits":{{"HeaderMaxBytes":16384,"BodyMaxBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}},"AccessPoints":[{{"Host":"{HOST}","Rules":[{}]}}],"Groups":[{}]}}"#,
        rules.join(","),
        groups.join(",")
    )
}

pub struct Operator {
    pub record: Record,
    /// Control addresses, in the order in which they are asked.
    pub nodes: Vec<SocketAddrV4>,
}

impl Operator {
    /// Sends an order until it is answered clearly; its status, and when the answer came.
    pub fn order(
        &self,
        path: &str,
        headers: &str,
        body: &str,
        within: Duration,
    ) -> Result<(u16, u64), String> {
        let until = Instant::now() + within;
        let mut pause = Duration::from_millis(50);
        for node in self.nodes.iter().cycle() {
            self.record
                .note(format!("operator sends POST {path} {} to {node}", headers.trim()));
            let headers = format!("{headers}Content-Type: application/json\r\n");
            match http::call(*node, "POST", path, &headers, body.as_bytes(), SILENCE) {
                Ok(answer) => {
                    let status = answer.status();
                    self.record.note(format!("operator gets {status} from {node}"));
                    if status < 300 || [400, 409, 412, 413, 422].contains(&status) {
                        return Ok((status, self.record.now_ms()));
                    }
                }
                Err(error) => self
                    .record
                    .note(format!("operator gets no answer from {node}: {error}")),
            }
            if Instant::now() + pause > until {
                break;
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(800));
        }
        Err(format!("no clear answer to POST {path}"))
    }

    /// Sends a configuration that must be taken.
    pub fn configure(&self, base: u64, body: &str, within: Duration) -> Result<u64, String> {
        match self.order(
            "/configuration/replace",
            &format!("Base-Version: {base}\r\n"),
            body,
            within,
        )? {
            (200, at) => Ok(at),
            (status, _) => Err(format!("a configuration on {base} is answered with {status}")),
        }
    }
}
