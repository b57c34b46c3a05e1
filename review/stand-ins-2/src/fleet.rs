//! A small deployment on loopback addresses: nodes started with the command of the deploy file, the
//! platform's list of workers, and the operator's calls. The settings are those that the bench
//! prints for the site anac-wire, with three machines, each in a zone and a region of its own.

use crate::http::{call, response, Connection};
use crate::record::Record;
use crate::system::{end_with_this_process, send_signal};
use crate::worker::Worker;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const ZONES: [(&str, &str); 3] = [("rec-boa", "recife"), ("ssa-pit", "salvador"), ("for-ald", "fortaleza")];
pub const HOST: &str = "jepu9.example";
const PORTS: u16 = 16;
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Addresses 127.a.b.n with the same free ports on each.
#[derive(Clone, Copy)]
pub struct Net {
    prefix: (u8, u8),
    port: u16,
}

impl Net {
    fn find() -> io::Result<Net> {
        let seed = std::process::id() as u64 ^ std::time::UNIX_EPOCH.elapsed().map_or(1, |d| d.subsec_nanos() as u64);
        for attempt in 0..100 {
            let drawn = (seed + attempt).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
            let net = Net {
                prefix: (20 + (drawn % 200) as u8, 1 + (drawn / 200 % 250) as u8),
                port: 20_000 + (drawn / 50_000 % 11_000) as u16,
            };
            let is_free = |n: u8| {
                (0..PORTS).all(|p| {
                    let address = net.address(n, p);
                    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
                })
            };
            if (1..=20).all(is_free) {
                return Ok(net);
            }
        }
        Err(io::Error::other("no free addresses"))
    }

    pub fn address(&self, machine: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.prefix.0, self.prefix.1, machine);
        SocketAddr::from((ip, self.port + port))
    }
    pub fn front(&self, node: u8) -> SocketAddr {
        self.address(node, 0)
    }
    pub fn readiness(&self, node: u8) -> SocketAddr {
        self.address(node, 1)
    }
    pub fn control(&self, node: u8) -> SocketAddr {
        self.address(node, 2)
    }
    pub fn directory(&self, node: u8) -> SocketAddr {
        self.address(node, 3)
    }
    fn platform(&self) -> SocketAddr {
        self.address(20, 0)
    }
    pub fn worker(&self, number: u8) -> SocketAddr {
        self.address(10 + number, 8)
    }
}

/// Entries of the platform's list, by identifier.
type Instances = Arc<Mutex<BTreeMap<String, String>>>;

fn start_platform(address: SocketAddr, instances: Instances) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let instances = instances.clone();
            std::thread::spawn(move || {
                let mut connection = Connection::new(stream);
                while let Ok(Some(_)) = connection.read_head() {
                    let entries: Vec<String> = instances.lock().map_or(Vec::new(), |list| {
                        list.iter().map(|(id, entry)| format!("\"{id}\":{entry}")).collect()
                    });
                    let body = format!("{{\"Instances\":{{{}}},\"NextToken\":null}}", entries.join(","));
                    let headers = "Content-Type: application/json\r\n";
                    if connection.send(&response("200 OK", headers, body.as_bytes())).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(())
}

pub struct Fleet {
    pub net: Net,
    folder: PathBuf,
    command: Vec<String>,
    nodes: BTreeMap<u8, Child>,
    instances: Instances,
    record: Record,
}

/// Returns the command of the role `balancer` in the deploy file.
fn deploy_command() -> io::Result<Vec<String>> {
    let text = std::fs::read_to_string("deploy/system.toml")?;
    let role = text.split("[roles.balancer]").nth(1).unwrap_or("");
    let run = role.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.ok_or_else(|| io::Error::other("the deploy file has no command for the role balancer"))?;
    Ok(run.trim_matches('"').split(' ').map(str::to_string).collect())
}

impl Fleet {
    /// Starts three machines with disks, numbers 1 to 3, and waits until all of them are ready; the configuration
    /// has the given version 1.
    pub fn start(record: &Record, configuration: &str, workers: &[Worker], net: Net) -> io::Result<Fleet> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let mut fleet = Fleet {
            net,
            folder,
            command: deploy_command()?,
            nodes: BTreeMap::new(),
            instances: Instances::default(),
            record: record.clone(),
        };
        for worker in workers {
            fleet.list(worker, "ready");
        }
        start_platform(net.platform(), fleet.instances.clone())?;
        for node in 1..=ZONES.len() as u8 {
            fleet.start_node(node, true)?;
        }
        fleet.configure(0, configuration)?;
        for node in 1..=ZONES.len() as u8 {
            fleet.wait_until_ready(node)?;
        }
        // The list of workers has been read, and `Contact` has passed.
        std::thread::sleep(Duration::from_millis(5500));
        fleet.record.note("all nodes are ready and in touch");
        Ok(fleet)
    }

    pub fn find_net() -> io::Result<Net> {
        Net::find()
    }

    /// Puts a worker on the platform's list.
    pub fn list(&self, worker: &Worker, state: &str) {
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\"CapacitySlots\":64,\"State\":\"{state}\",\"ColdLeft\":\"0ms\"}}",
            worker.service, worker.address, worker.zone
        );
        if let Ok(mut list) = self.instances.lock() {
            list.insert(worker.id.clone(), entry);
        }
    }

    pub fn start_node(&mut self, node: u8, is_initial_start: bool) -> io::Result<()> {
        let folder = self.folder.join(format!("node-{node}"));
        let disk = folder.join("data");
        std::fs::create_dir_all(&disk)?;
        let file = folder.join("boot.toml");
        std::fs::write(
            &file,
            self.settings(node, is_initial_start, &disk.display().to_string()),
        )?;
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(folder.join("log"))?;
        let mut command = Command::new(&self.command[0]);
        command.args(&self.command[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command
            .env("PEBBLEPOND_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        end_with_this_process(&mut command);
        self.nodes.insert(node, command.spawn()?);
        Ok(())
    }

    fn settings(&self, node: u8, is_initial_start: bool, disk: &str) -> String {
        let net = &self.net;
        // Machines that join later are in the last zone.
        let (zone, region) = ZONES[usize::from(node).min(ZONES.len()) - 1];
        let seeds: Vec<String> = (1..=3).map(|n| format!("\"{}\"", net.control(n))).collect();
        let mut text = format!(
            "Grants = \"invocation\"\n[OwnEntity]\nNodeName = \"edge-{zone}-{node}\"\nRole = \"balancer\"\nMachineClass = \"edge\"\n\
             Serves = [\"edge\",\"control\",\"directory\"]\nIpAddress = \"{}\"\nZone = \"{zone}\"\nRegion = \"{region}\"\n\
             LossCounted = true\nInitialStart = {is_initial_start}\nDataDirectory = \"{disk}\"\n\
             [OwnEntity.Limits]\nCpuFraction = 0.35\nCoreCount = 1\nMemoryMb = 260\nFileDescriptors = 4100\nLinkRateMbps = 1000.0\nDiskMb = 64\n\
             [Network]\nInternalPorts = [{},{}]\nSeedNodes = [{}]\n\
             [Network.ListenPoints]\nFront = \"{}\"\nReadiness = \"{}\"\nControl = \"{}\"\nDirectory = \"{}\"\n[Network.Zones]\n",
            net.front(node).ip(),
            net.address(node, 4).port(),
            net.address(node, 7).port(),
            seeds.join(","),
            net.front(node),
            net.readiness(node),
            net.control(node),
            net.directory(node),
        );
        for (zone, region) in ZONES {
            let _ = writeln!(text, "{zone} = \"{region}\"");
        }
        let _ = write!(
            text,
            "[Platform]\nDiscovery = \"platform\"\nEntry = \"directory\"\nBeatInterval = \"1500ms\"\n\
             [Platform.CloudApi]\nAddress = \"{}\"\nRatePerS = 43.0\nDuties = []\nLag = \"800ms\"\n\
             [Terms]\nContracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"own\"]\n\
             [Terms.Tolerance]\nMachines = 1\nZones = 1\nRegions = 1\n\
             [Terms.Bounds]\nSeedLag = \"3s\"\nReuseDelay = \"2s\"\nContact = \"5000ms\"\nAcknowledge = \"6000ms\"\nCatchUp = \"4s\"\n\
             Drain = \"3000ms\"\nGracePeriod = \"6s\"\nLossSlack = \"200ms\"\nConfigApply = \"3000ms\"\nRevertSlack = \"250ms\"\n\
             StretchMax = \"10000ms\"\nRetryRatio = 0.2\nRetryWindow = \"10s\"\nRetrySlack = 68\nColdExcess = 1.5\nColdSlack = 5\n\
             Evacuation = \"5000ms\"\nRecovery = \"15s\"\nHoldLimit = \"10000ms\"\nThaw = \"300ms\"\nttl_max = \"5s\"\n",
            net.platform()
        );
        text
    }

    /// Sends a configuration to one node after the other until it is acknowledged.
    pub fn configure(&self, base: u64, configuration: &str) -> io::Result<()> {
        let headers = format!("Base-Version: {base}\r\nContent-Type: application/json\r\n");
        self.order("/configuration/replace", &headers, configuration)
    }

    /// Sends an order to one node after the other until it is acknowledged.
    pub fn order(&self, path: &str, headers: &str, body: &str) -> io::Result<()> {
        self.order_for(Duration::from_secs(25), path, headers, body)
    }

    /// Sends an order to one node after the other until it is acknowledged, for this long.
    pub fn order_for(&self, limit: Duration, path: &str, headers: &str, body: &str) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < limit {
            for node in 1..=ZONES.len() as u8 {
                let address = self.net.control(node);
                let request = format!(
                    "POST {path} HTTP/1.1\r\nHost: {address}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                match call(address, request.as_bytes(), CALL_TIMEOUT) {
                    Ok((head, _)) if head.status() == 200 => {
                        self.record
                            .note(format!("operator: {path} is acknowledged by node {node}"));
                        return Ok(());
                    }
                    answer => {
                        let status = answer.as_ref().map_or(0, |(head, _)| head.status());
                        self.record
                            .note(format!("operator: {path} is answered {status} by node {node}"));
                        std::thread::sleep(Duration::from_millis(300));
                    }
                }
            }
        }
        Err(io::Error::other(format!("{path} was not acknowledged")))
    }

    pub fn is_ready(&self, node: u8) -> bool {
        let address = self.net.readiness(node);
        let request = format!("GET /readiness HTTP/1.1\r\nHost: {address}\r\n\r\n");
        call(address, request.as_bytes(), CALL_TIMEOUT).is_ok_and(|(head, _)| head.status() == 200)
    }

    pub fn wait_until_ready(&self, node: u8) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < Duration::from_secs(20) {
            if self.is_ready(node) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        Err(io::Error::other(format!("node {node} does not become ready")))
    }

    pub fn signal(&self, node: u8, signal: i32) {
        if let Some(child) = self.nodes.get(&node) {
            send_signal(child.id(), signal);
        }
    }

    /// Kills a node and waits until its process is gone.
    pub fn kill(&mut self, node: u8) {
        if let Some(mut child) = self.nodes.remove(&node) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.nodes.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}
