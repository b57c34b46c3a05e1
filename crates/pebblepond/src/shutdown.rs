//! Shuts the process down gracefully on SIGTERM; reloads the settings on SIGHUP or when the
//! settings file has changed.

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
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(StartError::Signal)?;
    let reload_context = context.clone();
    actix_rt::spawn(async move {
        let mut last_modified = modified_at(&reload_context);
        loop {
            let pause = actix_rt::time::sleep(Duration::from_millis(c::SETTINGS_CHECK_INTERVAL_MS));
            let is_requested = tokio::select! {
                _ = hangup.recv() => true,
                () = pause => false,
            };
            let now = modified_at(&reload_context);
            if is_requested || now != last_modified {
                last_modified = now;
                reload(&reload_context);
            }
        }
    });
    let context = context.clone();
    actix_rt::spawn(async move {
        if terminate.recv().await.is_some() {
            shut_down(&context).await;
            System::current().stop();
        }
    });
    Ok(())
}

fn modified_at(context: &NodeContext) -> Option<SystemTime> {
    std::fs::metadata(&context.settings_path)
        .and_then(|m| m.modified())
        .ok()
}

/// Applies the settings that may change while the process runs: seed nodes, zones, the platform
/// and the terms. Other settings take effect after a restart; a change of the address, the data
/// directory, the ports or the zone is logged.
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
    let requires_restart = new.own_entity.ip_address != old.own_entity.ip_address
        || new.own_entity.data_directory != old.own_entity.data_directory
        || new.network.internal_ports != old.network.internal_ports
        || new.own_entity.zone != old.own_entity.zone;
    if requires_restart {
        log::warn!("event=settings_wait what=\"address, zone, ports and disk change only after a restart\"");
    }
    let mut merged = (*old).clone();
    merged.network.seed_nodes = new.network.seed_nodes;
    merged.network.zones = new.network.zones;
    merged.platform = new.platform;
    merged.terms = new.terms;
    context.settings.set(merged);
    log::info!("event=settings_read");
}

/// The grace period of a shutdown; nothing runs beyond its end.
struct GracePeriod {
    started_at: u64,
    length_ms: u64,
}

impl GracePeriod {
    /// Returns the time at which the process ends at the latest, in milliseconds.
    fn ends_at(&self) -> u64 {
        self.started_at + self.length_ms.saturating_sub(c::SHUTDOWN_END_MARGIN_MS)
    }

    /// Returns whether clients have had time to learn that this node is shutting down. They stop
    /// using it within the lifetime of a directory answer; clients that still come later are
    /// served as long as there is time.
    fn is_half_over(&self, now: u64) -> bool {
        now - self.started_at > self.length_ms / 2
    }

    /// Returns the longest duration of a request that arrives when the shutdown begins.
    fn request_limit(&self) -> Duration {
        Duration::from_millis(self.length_ms.saturating_sub(c::SHUTDOWN_REQUEST_MARGIN_MS))
    }
}

/// Shuts the node down: it becomes not ready, leaves the directory and transfers leadership.
/// Running requests may complete within the grace period; requests that may take longer are not
/// accepted. A voter keeps running, as long as there is time, until the other voters can continue
/// with everything that it holds.
pub(crate) async fn shut_down(context: &Rc<NodeContext>) {
    log::info!("event=shutdown_begun");
    let grace_period = GracePeriod {
        started_at: context.now(),
        length_ms: context.settings.get().terms.bounds.grace_period.ms,
    };
    context.is_shutting_down.set(true);
    context
        .latest_request_deadline
        .set(Some(Instant::now() + grace_period.request_limit()));
    let driver = context.component::<Addr<RaftDriver>>();
    let mut idle_since = grace_period.started_at;
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
        if running_requests(context) > 0 {
            idle_since = now;
        }
        let is_idle = now - idle_since > c::SHUTDOWN_IDLE_MS;
        if grace_period.is_half_over(now) && is_idle && can_end || now >= grace_period.ends_at() {
            break;
        }
        actix_rt::time::sleep(Duration::from_millis(c::SHUTDOWN_CHECK_INTERVAL_MS)).await;
    }
    if !can_end {
        log::warn!(
            "event=shutdown_without_majority what=\"the other voters in contact are not a majority that holds everything committed: keep this disk or start this process again\""
        );
    }
    // No request may start between here and the end of the process.
    context.is_refusing_requests.set(true);
    let after_ms = context.now() - grace_period.started_at;
    log::info!(
        "event=shutdown_complete after_ms={after_ms} running={}",
        running_requests(context)
    );
}

/// Returns the number of requests that are being served.
fn running_requests(context: &NodeContext) -> u64 {
    context
        .component::<Rc<Proxy>>()
        .map_or(0, |proxy| proxy.running())
}
