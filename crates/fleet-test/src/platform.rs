//! Simulates the platform's list of workers. By default the list is empty and has one page.

use crate::ScenarioError;
use actix_web::dev::ServerHandle;
use actix_web::{web, App, HttpResponse, HttpServer};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Workers by `Identifier`, each with its entry in the list.
pub type Instances = Arc<Mutex<BTreeMap<String, serde_json::Value>>>;

/// What a page token names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PageToken {
    /// The number of entries on earlier pages, as in the protocol's example. Entries move between
    /// pages when others are removed, so that a reading may miss some.
    Position,
    /// The last entry on earlier pages. A reading misses no entry.
    LastEntry,
}

/// Paging of the list.
#[derive(Clone, Copy, Debug)]
pub struct Pages {
    /// Number of entries on a page.
    pub entries_per_page: usize,
    /// Delay of the platform for each page.
    pub page_delay: Duration,
    /// What a page token names.
    pub token: PageToken,
}

/// The first page of the list, as it was last read.
#[derive(Clone, Debug, Default)]
pub struct FirstPage {
    /// Number of times that the page was read.
    pub readings: u64,
    /// Identifiers of the workers on it.
    pub workers: Vec<String>,
}

/// State shared by the platform's request handlers.
struct Shared {
    instances: Instances,
    pages: Mutex<Pages>,
    first_page: Arc<Mutex<FirstPage>>,
}

/// The simulated platform.
pub struct Platform {
    pub instances: Instances,
    pub first_page: Arc<Mutex<FirstPage>>,
    shared: web::Data<Shared>,
    server: ServerHandle,
}

impl Platform {
    /// Starts listening at an address.
    pub fn start(address: SocketAddrV4) -> Result<Platform, ScenarioError> {
        let instances = Instances::default();
        let one_page = Pages {
            entries_per_page: usize::MAX,
            page_delay: Duration::ZERO,
            token: PageToken::Position,
        };
        let first_page = Arc::default();
        let shared = web::Data::new(Shared {
            instances: instances.clone(),
            pages: Mutex::new(one_page),
            first_page: Arc::clone(&first_page),
        });
        let served = shared.clone();
        let server = HttpServer::new(move || {
            App::new()
                .app_data(served.clone())
                .route("/instances", web::get().to(list))
        })
        .workers(1)
        .disable_signals()
        .bind(address)
        .map_err(|e| format!("cannot listen at {address} for the simulated platform: {e}"))?
        .run();
        let handle = server.handle();
        actix_rt::spawn(server);
        Ok(Platform {
            instances,
            first_page,
            shared,
            server: handle,
        })
    }

    /// Sets the paging of the list.
    pub fn set_pages(&self, new_pages: Pages) {
        if let Ok(mut pages) = self.shared.pages.lock() {
            *pages = new_pages;
        }
    }

    /// Stops listening.
    pub async fn stop(&self) {
        self.server.stop(false).await;
    }
}

/// Returns a page of the whole list or of one zone's list, as the list is at this moment.
async fn list(shared: web::Data<Shared>, query: web::Query<BTreeMap<String, String>>) -> HttpResponse {
    let Some(pages) = shared.pages.lock().ok().map(|pages| *pages) else {
        return HttpResponse::InternalServerError().finish();
    };
    if !pages.page_delay.is_zero() {
        actix_web::rt::time::sleep(pages.page_delay).await;
    }
    let Ok(all) = shared.instances.lock() else {
        return HttpResponse::InternalServerError().finish();
    };
    let token = query.get("PageToken").and_then(|token| token.strip_prefix("p-"));
    let position = token.filter(|_| pages.token == PageToken::Position);
    let first: usize = position.and_then(|number| number.parse().ok()).unwrap_or(0);
    let last_entry = token.filter(|_| pages.token == PageToken::LastEntry);
    let is_after_last = |id: &str| last_entry.is_none_or(|last| id > last);
    let is_in_zone =
        |entry: &serde_json::Value| query.get("Zone").is_none_or(|z| entry["Zone"] == z.as_str());
    let mut listed = all
        .iter()
        .filter(|(id, entry)| is_in_zone(entry) && is_after_last(id))
        .skip(first);
    let page: BTreeMap<_, _> = listed.by_ref().take(pages.entries_per_page).collect();
    let next = listed
        .next()
        .map(|_| match (pages.token, page.keys().next_back()) {
            (PageToken::LastEntry, Some(last)) => format!("p-{last}"),
            _ => format!("p-{}", first + page.len()),
        });
    if let (None, Ok(mut first_page)) = (token, shared.first_page.lock()) {
        first_page.readings += 1;
        first_page.workers = page.keys().map(|id| (*id).clone()).collect();
    }
    HttpResponse::Ok().json(serde_json::json!({ "Instances": page, "NextToken": next }))
}
