//! The HTTP status port of the gateway: liveness, readiness and counters.

use crate::driver::Driver;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use tansy_net_grpc::status_server;

/// Starts serving the status port of a driver.
pub fn start(driver: Rc<Driver>, listener: TcpListener) -> io::Result<()> {
    let spawner = driver.spawner.clone();
    let answers = Rc::new(move |path: &str| answer(&driver, path));
    status_server::start(spawner, listener, answers)
}

fn answer(driver: &Driver, path: &str) -> (&'static str, String) {
    match path {
        "/live" | "/v2/health/live" => ("200 OK", "live\n".into()),
        "/ready" | "/v2/health/ready" => match driver.with_dispatcher(|d| d.is_ready()) {
            true => ("200 OK", "ready\n".into()),
            false => (
                "503 Service Unavailable",
                "no worker takes work, no version is agreed on, or closing\n".into(),
            ),
        },
        "/account" => ("200 OK", counters(driver)),
        _ => ("404 Not Found", "GET /live, /ready or /account\n".into()),
    }
}

/// The counters, and a line for each worker and function whose last load left no instance.
fn counters(driver: &Driver) -> String {
    let (counters, open) = driver.counters();
    driver.with_dispatcher(|dispatcher| {
        let parked = dispatcher.pending_calls();
        let mut text = format!("{counters} open={open} parked={parked}\n");
        for (worker, function, missing) in dispatcher.load_failures() {
            text += &format!(
                "lacking worker={worker} function={function} status=\"{}\" count={}\n",
                missing.outcome, missing.failed_loads
            );
        }
        text
    })
}
