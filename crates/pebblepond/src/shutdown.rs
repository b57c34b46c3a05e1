//! Ends in order on SIGTERM; reads the settings again on SIGHUP, or when the
//! file has changed without one.

use crate::control::{AnnounceShutdown, RaftDriver};
use crate::kernel::{Component, NodeContext, StartError};
use crate::proxy::Proxy;
use actix::prelude::*;
use config::{constants as c, Settings};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::signal::unix::{signal, SignalKind};

inventory::submit! { Component { name: "shutdown", order: 100, start } }

fn start(context: &Rc<NodeContext>) -> Result<(), StartError> {
    let mut term = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let mut hup = signal(SignalKind::hangup()).map_err(StartError::Signal)?;
    let watcher = context.clone();
    actix_rt::spawn(async move {
        let mut seen = changed_at(&watcher);
        loop {
            let pause = actix_rt::time::sleep(Duration::from_millis(c::SETTINGS_CHECK_INTERVAL_MS));
            let is_asked = tokio::select! {
                _ = hup.recv() => true,
                () = pause => false,
            };
            let now = changed_at(&watcher);
            if is_asked || now != seen {
                seen = now;
                reload(&watcher);
            }
        }
    });
    let context = context.clone();
    actix_rt::spawn(async move {
        if term.recv().await.is_some() {
            shut_down(&context).await;
            System::current().stop();
        }
    });
    Ok(())
}

fn changed_at(context: &NodeContext) -> Option<SystemTime> {
    std::fs::metadata(&context.settings_path)
        .and_then(|m| m.modified())
        .ok()
}

/// Takes over what may change while the process runs: seeds, the platform and
/// the terms. The rest waits for a restart, and is said to.
fn reload(context: &NodeContext) {
    let read = std::fs::read_to_string(&context.settings_path).map_err(|e| e.to_string());
    let new = match read.and_then(|text| Settings::parse(&text).map_err(|e| e.to_string())) {
        Ok(new) => new,
        Err(e) => {
            log::warn!("event=settings_kept reason={e:?}");
            return;
        }
    };
    let old = context.settings.get();
    let fixed = new.own_entity.ip_address != old.own_entity.ip_address
        || new.own_entity.data_directory != old.own_entity.data_directory
        || new.network.internal_ports != old.network.internal_ports
        || new.own_entity.zone != old.own_entity.zone;
    if fixed {
        log::warn!("event=settings_wait what=\"address, zone, ports or disk change with a restart only\"");
    }
    let mut merged = (*old).clone();
    merged.network.seed_nodes = new.network.seed_nodes;
    merged.network.zones = new.network.zones;
    merged.platform = new.platform;
    merged.terms = new.terms;
    context.settings.set(merged);
    log::info!("event=settings_read");
}

/// The end of a process: a deadline that nothing outlasts.
struct GracePeriod {
    begun: u64,
    length_ms: u64,
}

impl GracePeriod {
    /// When the process ends at the latest, ms.
    fn ends_at(&self) -> u64 {
        self.begun + self.length_ms.saturating_sub(c::SHUTDOWN_END_MARGIN_MS)
    }

    /// Whether clients have had time to hear that this node is leaving. They leave within the
    /// life of an answer of the directory; who still comes after that is served as long as
    /// there is time.
    fn is_half_over(&self, now: u64) -> bool {
        now - self.begun > self.length_ms / 2
    }

    /// How long a request that comes now may last, ms.
    fn request_limit(&self) -> Duration {
        Duration::from_millis(self.length_ms.saturating_sub(c::SHUTDOWN_REQUEST_MARGIN_MS))
    }
}

/// Not ready, out of the directory, leadership passed on, and then whatever runs may end within
/// the grace period; what may last longer is not taken. A voter stays, as long as there is
/// time, until the others go on with all that it holds.
pub(crate) async fn shut_down(context: &Rc<NodeContext>) {
    log::info!("event=shutdown_begun");
    let grace_period = GracePeriod {
        begun: context.now(),
        length_ms: context.settings.get().terms.bounds.grace_period.ms,
    };
    context.shutting_down.set(true);
    context
        .latest_deadline
        .set(Some(Instant::now() + grace_period.request_limit()));
    let driver = context.get::<Addr<RaftDriver>>();
    let mut quiet_since = grace_period.begun;
    let mut can_end = driver.is_none();
    let mut announced_at = None;
    loop {
        let now = context.now();
        if let Some(driver) = &driver {
            if announced_at.is_none_or(|at| now - at >= c::SHUTDOWN_ANNOUNCE_INTERVAL_MS) {
                announced_at = Some(now);
                can_end = driver.send(AnnounceShutdown).await.unwrap_or(true);
            }
        }
        if running(context) > 0 {
            quiet_since = now;
        }
        let is_quiet = now - quiet_since > c::SHUTDOWN_QUIET_MS;
        if grace_period.is_half_over(now) && is_quiet && can_end || now >= grace_period.ends_at() {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(c::SHUTDOWN_CHECK_INTERVAL_MS)).await;
    }
    if !can_end {
        log::warn!(
            "event=shutdown_without_majority what=\"the other voters in contact are no majority that holds all that is committed: keep this disk, or bring this process back\""
        );
    }
    // Nothing runs between here and the end of the process, and nothing may begin to.
    context.refusing_requests.set(true);
    let after_ms = context.now() - grace_period.begun;
    log::info!(
        "event=shutdown_complete after_ms={after_ms} running={}",
        running(context)
    );
}

/// Requests that are being served.
fn running(context: &NodeContext) -> u64 {
    context.get::<Rc<Proxy>>().map_or(0, |proxy| proxy.running())
}
