//! The platform: the list of workers, on pages of 50, as it stood `LAG` ago.

use crate::http::{answer, Reader};
use std::io::Write as _;
use std::net::{SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// `Lag` of the settings.
const LAG: Duration = Duration::from_millis(800);
const PAGE: usize = 50;

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddrV4,
    pub zone: String,
    /// `State`: `draining`, else `ready`.
    pub draining: bool,
    /// When it started, if that was during traffic: it is cold at first.
    pub started: Option<Instant>,
}

#[derive(Clone, Default)]
pub struct Platform {
    /// How long a call to it takes, ms.
    delay_ms: Arc<AtomicU64>,
    /// The list, each with the moment from which it stands so.
    lists: Arc<Mutex<Vec<(Instant, Vec<Entry>)>>>,
}

impl Platform {
    pub fn start(at: SocketAddrV4) -> Result<Platform, String> {
        let listener = TcpListener::bind(at).map_err(|e| e.to_string())?;
        let platform = Platform::default();
        let served = platform.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let platform = served.clone();
                std::thread::spawn(move || {
                    let mut reader = Reader::new(&stream);
                    while let Ok(Some(request)) = reader.message() {
                        let delay_ms = platform.delay_ms.load(Ordering::Relaxed);
                        std::thread::sleep(Duration::from_millis(delay_ms));
                        let page = platform.page(request.path());
                        let bytes = answer("200 OK", "Content-Type: application/json\r\n", page.as_bytes());
                        if (&stream).write_all(&bytes).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(platform)
    }

    /// What runs from now on; the list shows it after its lag.
    pub fn set(&self, entries: Vec<Entry>) {
        self.lists.lock().unwrap().push((Instant::now(), entries));
    }

    /// How far away it is: each call takes so long, there and back.
    pub fn set_distance(&self, delay_ms: u64) {
        self.delay_ms.store(delay_ms, Ordering::Relaxed);
    }

    fn page(&self, path: &str) -> String {
        let lists = self.lists.lock().unwrap();
        // What was there before the case began has long been listed.
        let shown = lists
            .iter()
            .enumerate()
            .filter(|(i, (at, _))| *i == 0 || at.elapsed() >= LAG);
        let entries = shown
            .last()
            .map(|(_, (_, entries))| entries.clone())
            .unwrap_or_default();
        let asked = |name: &str| {
            let query = path.split_once('?')?.1;
            query
                .split('&')
                .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))
        };
        let wanted: Vec<&Entry> = entries
            .iter()
            .filter(|e| asked("Zone").is_none_or(|zone| zone == e.zone))
            .collect();
        let first = asked("PageToken")
            .and_then(|t| t.strip_prefix("p-")?.parse().ok())
            .unwrap_or(0);
        let rows: Vec<String> = wanted.iter().skip(first).take(PAGE).map(|e| row(e)).collect();
        let next = if first + PAGE < wanted.len() {
            format!("\"p-{}\"", first + PAGE)
        } else {
            "null".into()
        };
        format!("{{\"Instances\":{{{}}},\"NextToken\":{next}}}", rows.join(","))
    }
}

/// `ColdPeriod` of the configurations.
const COLD: Duration = Duration::from_secs(3);

fn row(entry: &Entry) -> String {
    let cold_left = entry
        .started
        .map_or(Duration::ZERO, |at| COLD.saturating_sub(at.elapsed()));
    format!(
        r#""{}":{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","CapacitySlots":6,"State":"{}","ColdLeft":"{}ms"}}"#,
        entry.id,
        entry.service,
        entry.address,
        entry.zone,
        if entry.draining { "draining" } else { "ready" },
        cold_left.as_millis()
    )
}
