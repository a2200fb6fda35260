//! A process that serves jobs under leases: its control thread, its ports, its end.

use std::fmt;
use std::net;
use std::sync;

use actix_web::web;

use crate::codes;
use crate::control;
use crate::daemon;
use crate::incoming;
use crate::metrics;
use crate::open_requests;

type Routes = sync::Arc<dyn Fn(&mut web::ServiceConfig) + Send + Sync>;

/// A port with its pages.
pub struct Port {
    address: net::SocketAddr,
    /// Whether the process can't do without it.
    is_needed: bool,
    bounds: daemon::Bounds,
    pages: Routes,
}

impl fmt::Debug for Port {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut port = f.debug_struct("Port");
        port.field("address", &self.address).finish_non_exhaustive()
    }
}

impl Port {
    /// A port that will be opened.
    pub fn new<F>(address: net::SocketAddr, bounds: daemon::Bounds, pages: F) -> Self
    where
        F: Fn(&mut web::ServiceConfig) + Send + Sync + 'static,
    {
        Self {
            address,
            is_needed: true,
            bounds,
            pages: sync::Arc::new(pages),
        }
    }

    /// The same port, without which the process goes on if it can't be opened.
    #[must_use]
    pub fn optional(self) -> Self {
        Self {
            is_needed: false,
            ..self
        }
    }
}

/// Starts a control actor on a thread of its own.
pub fn start_control<A, F>(make: F) -> Result<actix::Addr<A>, daemon::DaemonError>
where
    A: actix::Actor<Context = actix::Context<A>>,
    F: FnOnce() -> A + Send + 'static,
{
    daemon::start_on_own_thread(make)
}

/// The port where metrics are served; a process serves its callers without it too.
pub fn metrics<A>(
    address: net::SocketAddr,
    bounds: daemon::Bounds,
    control: &actix::Addr<A>,
) -> Port
where
    A: actix::Actor<Context = actix::Context<A>> + actix::Handler<control::GetMetrics>,
{
    let want: actix::Recipient<control::GetMetrics> = control.clone().recipient();
    Port::new(address, bounds, move |cfg| {
        cfg.app_data(web::Data::new(want.clone()));
        cfg.route("/metrics", web::get().to(scrape));
    })
    .optional()
}

async fn scrape(want: web::Data<actix::Recipient<control::GetMetrics>>) -> actix_web::HttpResponse {
    let Ok(samples) = want.send(control::GetMetrics).await else {
        return incoming::refuse(codes::Code::Leaving);
    };
    metrics::response(samples)
}

/// Opens the ports and serves until the process is told to stop and is drained.
pub async fn serve<A>(control: &actix::Addr<A>, ports: Vec<Port>) -> Result<(), daemon::DaemonError>
where
    A: actix::Actor<Context = actix::Context<A>>
        + actix::Handler<control::Leave>
        + actix::Handler<control::IsDrained>
        + actix::Handler<control::Abandon>,
{
    let open_requests = open_requests::OpenRequests::default();
    let mut servers = Vec::with_capacity(ports.len());
    for port in ports {
        let listener = match net::TcpListener::bind(port.address) {
            Ok(listener) => listener,
            Err(e) if port.is_needed => return Err(e.into()),
            Err(e) => {
                log::error!(event = "port.unserved", address:% = port.address; "{e}");
                continue;
            }
        };
        let pages = port.pages;
        let pages = move |cfg: &mut web::ServiceConfig| pages(cfg);
        servers.push(daemon::serve(
            listener,
            1,
            port.bounds,
            &open_requests,
            pages,
        )?);
    }
    daemon::serve_until_drained(servers, daemon::shutdown_handles(control), open_requests).await
}
