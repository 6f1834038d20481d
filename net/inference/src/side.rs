//! The gateway's side port: whether it lives, whether it takes calls, and its account.

use crate::hub::Hub;
use std::io;
use std::net::TcpListener;
use std::rc::Rc;
use tansy_net_grpc::side;

/// Serves the side port of a hub.
pub fn start(hub: Rc<Hub>, listener: TcpListener) -> io::Result<()> {
    let spawner = hub.spawner.clone();
    side::start(spawner, listener, Rc::new(move |path| answer(&hub, path)))
}

fn answer(hub: &Hub, path: &str) -> (&'static str, String) {
    match path {
        "/live" | "/v2/health/live" => ("200 OK", "live\n".into()),
        "/ready" | "/v2/health/ready" => match hub.with_front(|f| f.is_ready()) {
            true => ("200 OK", "ready\n".into()),
            false => (
                "503 Service Unavailable",
                "no worker takes work, no version is agreed on, or closing\n".into(),
            ),
        },
        "/account" => {
            let (account, open) = hub.account();
            let parked = hub.with_front(|f| f.pending_calls());
            let mut text = format!("{account} open={open} parked={parked}\n");
            hub.with_front(|f| {
                for (worker, function, lack) in f.missing_functions() {
                    let (seen, count) = (lack.outcome, lack.failed_loads);
                    text += &format!(
                        "lacking worker={worker} function={function} status=\"{seen}\" count={count}\n"
                    );
                }
            });
            ("200 OK", text)
        }
        _ => ("404 Not Found", "GET /live, /ready or /account\n".into()),
    }
}
