//! The settings file of a node. Unknown fields are ignored.

use crate::duration_text::DurationText;
use crate::error::SettingsError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use validator::Validate;

/// Name of the environment variable that holds the path of the settings file.
pub const SETTINGS_ENV: &str = "PEBBLEPOND_CONFIG";

/// The settings of one node.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// Properties of the node itself.
    #[validate(nested)]
    pub own_entity: OwnEntity,
    /// Addresses, ports and zones.
    #[validate(nested)]
    pub network: Network,
    /// The platform that the node runs on.
    #[validate(nested)]
    pub platform: Platform,
    /// Requirements that the operator has set for the system.
    #[validate(nested)]
    pub terms: Terms,
}

/// Properties of the node itself.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct OwnEntity {
    /// Name of the node, unique in the system.
    #[validate(length(min = 1))]
    pub node_name: String,
    /// Roles of the node in the deploy file, for information only.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Address at which other nodes reach this node.
    pub ip_address: std::net::Ipv4Addr,
    /// Zone of the node.
    #[validate(length(min = 1))]
    pub zone: String,
    /// Region of the node.
    #[validate(length(min = 1))]
    pub region: String,
    /// Whether the loss of the node counts against the tolerance.
    #[serde(default)]
    pub loss_counted: bool,
    /// Whether the complete system starts for the first time; default `false`.
    #[serde(default)]
    pub initial_start: bool,
    /// Directory for the node's data. A node without one does not vote.
    pub data_directory: Option<String>,
    /// Limits on the node's use of its machine.
    #[validate(nested)]
    pub limits: MachineLimits,
}

/// Limits on the node's use of its machine.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct MachineLimits {
    /// Fraction of a core, above 1 for several cores.
    #[validate(range(min = 0.001, max = 1024.0))]
    pub cpu_fraction: f64,
    /// Memory, in MB; 0 if not given.
    #[serde(default)]
    pub memory_mb: u64,
    /// Number of open files and connections; 0 if not given.
    #[serde(default)]
    pub file_descriptors: u64,
    /// Disk space, in MB; 0 if not given.
    #[serde(default)]
    pub disk_mb: u64,
}

/// Addresses, ports and zones.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Network {
    /// First and last port for other nodes. The first is used, for TCP and UDP.
    pub internal_ports: [u16; 2],
    /// Addresses of the nodes that a new node contacts to join.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Addresses at which the node listens for clients and operators.
    pub listen_points: ListenPoints,
    /// Region of each zone.
    #[validate(length(min = 1))]
    pub zones: BTreeMap<String, String>,
}

/// Addresses at which the node listens. An interface without an address is not served.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListenPoints {
    /// Address for the requests of clients.
    pub front: Option<SocketAddrV4>,
    /// Address for readiness checks.
    pub readiness: Option<SocketAddrV4>,
    /// Address for operators.
    pub control: Option<SocketAddrV4>,
    /// Address for clients that look up a node.
    pub directory: Option<SocketAddrV4>,
}

/// The platform that the node runs on.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Platform {
    /// The platform's interface for listing workers.
    #[validate(nested)]
    pub cloud_api: CloudApi,
    /// How clients find a node: through the `directory`, or at an address of the platform.
    #[serde(default = "directory")]
    pub entry: String,
    /// The kind of deployment: `global` or `api`; default `global`.
    #[serde(default = "global")]
    pub rollout: String,
}

/// The supported kinds of deployment.
const DEPLOYMENT_KINDS: [&str; 2] = ["global", "api"];

fn directory() -> String {
    "directory".into()
}

fn global() -> String {
    "global".into()
}

/// The platform's interface for listing workers.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct CloudApi {
    /// Address of the interface.
    pub address: SocketAddrV4,
    /// Allowed rate of calls, in calls per second.
    #[validate(range(min = 0.01, max = 1e6))]
    pub rate_per_s: f64,
    /// Delay of the list behind the actual state; default 0.
    #[serde(default)]
    pub lag: DurationText,
}

/// Requirements that the operator has set for the system.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Terms {
    /// Contracts that the system is run under, for information only.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// Losses that the system must tolerate.
    #[serde(default)]
    pub tolerance: Tolerance,
    /// Bounds on the behaviour of the system.
    #[serde(default)]
    #[validate(nested)]
    pub bounds: Bounds,
}

/// The numbers of machines, zones and regions that may be lost at the same time while every rule
/// still holds.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Tolerance {
    pub machines: u32,
    pub zones: u32,
    pub regions: u32,
}

/// Bounds on the behaviour of the system. A bound that is not given takes the mildest value that is
/// safe.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase", default)]
pub struct Bounds {
    pub reuse_delay: DurationText,
    pub contact: DurationText,
    pub acknowledge: DurationText,
    pub drain: DurationText,
    pub grace_period: DurationText,
    pub config_apply: DurationText,
    #[validate(range(min = 0.0, max = 10.0))]
    pub retry_ratio: f64,
    pub retry_window: DurationText,
    #[validate(range(min = 0.0))]
    pub retry_slack: f64,
    #[validate(range(min = 0.0))]
    pub cold_excess: f64,
    #[validate(range(min = 0.0))]
    pub cold_slack: f64,
    pub evacuation: DurationText,
    /// Fraction of a service's requests that a bad version may get. [`Bounds::rollback`] is the time
    /// within which it must lose them.
    #[validate(range(min = 0.0, max = 1.0))]
    pub exposure_share: f64,
    #[validate(range(min = 0.0))]
    pub exposure_slack: f64,
    pub rollback: DurationText,
    pub hold_limit: DurationText,
    pub thaw: DurationText,
    #[serde(rename = "ttl_max")]
    pub ttl_max: DurationText,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            reuse_delay: DurationText::from_ms(2000),
            contact: DurationText::from_ms(4000),
            acknowledge: DurationText::from_ms(6000),
            drain: DurationText::from_ms(2500),
            grace_period: DurationText::from_ms(6000),
            config_apply: DurationText::from_ms(2000),
            retry_ratio: 0.0,
            retry_window: DurationText::from_ms(10_000),
            retry_slack: 0.0,
            cold_excess: 1.0,
            cold_slack: 0.0,
            evacuation: DurationText::from_ms(5000),
            exposure_share: 0.0,
            exposure_slack: 0.0,
            rollback: DurationText::from_ms(5000),
            hold_limit: DurationText::from_ms(10_000),
            thaw: DurationText::from_ms(300),
            ttl_max: DurationText::from_ms(5000),
        }
    }
}

impl Settings {
    /// Parses settings. The text of the error is one line that names the field.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|e| {
            let start = e.span().map(|s| s.start.min(text.len()));
            SettingsError::Unreadable {
                line: start.map_or(0, |start| text[..start].lines().count()),
                reason: e.message().replace('\n', " "),
            }
        })?;
        settings
            .validate()
            .map_err(|e| SettingsError::Field(e.to_string().replace('\n', "; ")))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let invalid = |problem: &str| Err(SettingsError::Field(problem.to_string()));
        let [first, last] = self.network.internal_ports;
        if first == 0 || first > last {
            return invalid("Network.InternalPorts must be a range of ports above 0");
        }
        if !DEPLOYMENT_KINDS.contains(&self.platform.rollout.as_str()) {
            return invalid(&format!(
                "Platform.Rollout `{}` is not served here; known are {}",
                self.platform.rollout,
                DEPLOYMENT_KINDS.join(" and ")
            ));
        }
        match self.network.zones.get(&self.own_entity.zone) {
            Some(region) if *region == self.own_entity.region => Ok(()),
            Some(_) => invalid("OwnEntity.Region is not the region of its Zone in Network.Zones"),
            None => invalid("OwnEntity.Zone is missing from Network.Zones"),
        }
    }

    /// Returns whether the sites of the placement are zones rather than regions. Without a directory
    /// the nodes themselves direct each request to a site, and the sites are the zones of the
    /// workers.
    pub fn zones_are_sites(&self) -> bool {
        self.platform.entry != directory()
    }

    /// Returns the site of a zone in a region.
    pub fn site<'a>(&self, zone: &'a str, region: &'a str) -> &'a str {
        if self.zones_are_sites() {
            zone
        } else {
            region
        }
    }

    /// Returns the site of every zone, by zone.
    pub fn sites(&self) -> BTreeMap<String, String> {
        let zones = self.network.zones.iter();
        zones
            .map(|(zone, region)| (zone.clone(), self.site(zone, region).to_string()))
            .collect()
    }

    /// Returns the address of this node for communication with other nodes.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.own_entity.ip_address, self.network.internal_ports[0])
    }

    /// Returns the addresses of the seed nodes for communication with other nodes, in the order of
    /// the settings.
    pub fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        let port = self.network.internal_ports[0];
        self.network
            .seed_nodes
            .iter()
            .map(|s| SocketAddrV4::new(*s.ip(), port))
            .collect()
    }
}
