//! The settings file that a process is told about. Unknown fields are ignored.

use crate::duration_text::DurationText;
use crate::error::SettingsError;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use validator::Validate;

/// The name of the environment variable that holds the settings file's path.
pub const SETTINGS_ENV: &str = "PEBBLEPOND_CONFIG";

/// The settings of one node.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Settings {
    /// The node itself.
    #[validate(nested)]
    pub own_entity: OwnEntity,
    /// Addresses and places.
    #[validate(nested)]
    pub network: Network,
    /// What it runs on.
    #[validate(nested)]
    pub platform: Platform,
    /// What the operator has laid down.
    #[validate(nested)]
    pub terms: Terms,
}

/// What the node itself is.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct OwnEntity {
    /// Name of the node, unique in the system.
    #[validate(length(min = 1))]
    pub node_name: String,
    /// Duties named in the deploy file; for the reader.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Address that other nodes reach it at.
    pub ip_address: std::net::Ipv4Addr,
    /// Zone that it is in.
    #[validate(length(min = 1))]
    pub zone: String,
    /// Region that it is in.
    #[validate(length(min = 1))]
    pub region: String,
    /// Its loss counts against the tolerance.
    #[serde(default)]
    pub loss_counted: bool,
    /// The whole system starts for the first time; default `false`.
    #[serde(default)]
    pub initial_start: bool,
    /// Where it stores its data; without one it does not vote.
    pub data_directory: Option<String>,
    /// What it may use of its machine.
    #[validate(nested)]
    pub limits: MachineLimits,
}

/// What the node may use of its machine.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct MachineLimits {
    /// Part of a core; more than 1 for several cores.
    #[validate(range(min = 0.001, max = 1024.0))]
    pub cpu_fraction: f64,
    /// Memory, MB; 0 if not given.
    #[serde(default)]
    pub memory_mb: u64,
    /// Open files and connections; 0 if not given.
    #[serde(default)]
    pub file_descriptors: u64,
    /// Disk space, MB; 0 if not given.
    #[serde(default)]
    pub disk_mb: u64,
}

/// Addresses and places.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Network {
    /// First and last of the ports for other nodes; the first is used, for TCP and UDP.
    pub internal_ports: [u16; 2],
    /// Addresses of nodes to join by.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Where it listens for others than nodes.
    pub listen_points: ListenPoints,
    /// Region of each zone.
    #[validate(length(min = 1))]
    pub zones: BTreeMap<String, String>,
}

/// Where the node listens; a point that is not given is not served.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct ListenPoints {
    /// For requests of clients.
    pub front: Option<SocketAddrV4>,
    /// For questions whether it is ready.
    pub readiness: Option<SocketAddrV4>,
    /// For operators.
    pub control: Option<SocketAddrV4>,
    /// For clients that look for a node.
    pub directory: Option<SocketAddrV4>,
}

/// What the node runs on.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Platform {
    /// The interface that lists the workers.
    #[validate(nested)]
    pub cloud_api: CloudApi,
    /// How clients arrive: by the `directory`, or at an address of the platform.
    #[serde(default = "directory")]
    pub entry: String,
    /// The kind of deployment.
    #[serde(default = "global")]
    pub rollout: String,
}

/// The kinds of deployment that this program serves.
const DEPLOYMENT_KINDS: [&str; 2] = ["global", "api"];

fn directory() -> String {
    "directory".into()
}

fn global() -> String {
    "global".into()
}

/// The interface that lists the workers.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct CloudApi {
    /// Its address.
    pub address: SocketAddrV4,
    /// Calls that it allows, calls/s.
    #[validate(range(min = 0.01, max = 1e6))]
    pub rate_per_s: f64,
    /// How far its list is behind; default 0.
    #[serde(default)]
    pub lag: DurationText,
}

/// What the operator has laid down for the system.
#[derive(Clone, Debug, Deserialize, Validate)]
#[serde(rename_all = "PascalCase")]
pub struct Terms {
    /// Contracts that the system is run under; for the reader.
    #[serde(default)]
    pub contracts: Vec<String>,
    /// Losses that the system bears.
    #[serde(default)]
    pub tolerance: Tolerance,
    /// Bounds of what it may do.
    #[serde(default)]
    #[validate(nested)]
    pub bounds: Bounds,
}

/// What may be lost at the same time while every rule still holds.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct Tolerance {
    pub machines: u32,
    pub zones: u32,
    pub regions: u32,
}

/// Figures of the rules; those that a deployment leaves out take the mildest
/// value that is safe.
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
    /// Part of a service's requests that a bad version may get, and how soon it
    /// must have lost them.
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
    /// Reads settings from text; the error is one line that names the field.
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

    /// Whether the placement's sites are zones rather than regions: without a
    /// directory the nodes themselves point each request at a site, and the
    /// sites are the zones that its workers are in.
    pub fn zones_are_sites(&self) -> bool {
        self.platform.entry != directory()
    }

    /// The site of a zone in a region.
    pub fn site<'a>(&self, zone: &'a str, region: &'a str) -> &'a str {
        if self.zones_are_sites() {
            zone
        } else {
            region
        }
    }

    /// The site of every zone.
    pub fn sites(&self) -> BTreeMap<String, String> {
        let zones = self.network.zones.iter();
        zones
            .map(|(zone, region)| (zone.clone(), self.site(zone, region).to_string()))
            .collect()
    }

    /// The address on which this node speaks to the other nodes.
    pub fn internal_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.own_entity.ip_address, self.network.internal_ports[0])
    }

    /// The addresses on which the seeds speak to other nodes, in their order.
    pub fn seed_addresses(&self) -> Vec<SocketAddrV4> {
        let port = self.network.internal_ports[0];
        self.network
            .seed_nodes
            .iter()
            .map(|s| SocketAddrV4::new(*s.ip(), port))
            .collect()
    }
}
