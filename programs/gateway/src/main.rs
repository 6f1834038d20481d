//! The gateway: gRPC inference calls in, the module decides, workers run them, results stream back.

use calloop::EventLoop;
use clap::Parser;
use std::io::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tansy_front::{Config, Front, FunctionSpec, Listed};
use tansy_net_front::{clients, side, Hub, Setup, Worker};
use tansy_net_grpc::server::{listen, Server};
use tansy_net_grpc::Spawner;
use tansy_standin_worker::{Function, Profile, Standin, WhenAbsent};

#[derive(Parser)]
#[command(version, about)]
struct Arguments {
    /// Start four stand-in workers in this process and serve the functions `echo` and `overlay`.
    #[arg(long)]
    embedded: bool,
    /// Address of the gRPC port.
    #[arg(long, default_value = "127.0.0.1:8001")]
    listen: SocketAddr,
    /// Address of the HTTP/1.1 side port.
    #[arg(long, default_value = "127.0.0.1:8000")]
    http: SocketAddr,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let a = Arguments::parse();
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle())?;
    let epoch = Instant::now();
    let names = ["echo", "overlay"];
    let functions: Vec<FunctionSpec> = names
        .iter()
        .map(|n| FunctionSpec {
            name: n.to_string(),
            class: 0,
            lanes: 4,
            memory_mb: 200.0,
            load_time: Some(100_000),
            versions: vec!["1".into()],
        })
        .collect();
    let config = Config {
        settings: tansyrouter::Settings { may_probe: true, ..Default::default() },
        classes: vec!["default".into()],
        tenants: vec![],
        zones: vec!["local".into()],
        functions,
        longest: 3_600_000_000,
        seed: 1,
    };
    let front = Front::new(config, tansyrouter::Time(0))?;
    let hub = Hub::new(spawner.clone(), front, Setup::default(), epoch, None);
    let mut workers = Vec::new();
    for n in 0..4 {
        let listener = listen("127.0.0.1:0".parse()?, false)?;
        let f = |n: &&str| Function {
            name: n.to_string(),
            memory_mb: 200.0,
            lanes: 4,
            load: 100_000,
            work: 2_000,
        };
        let profile = Profile {
            name: format!("embedded-{n}"),
            functions: names.iter().map(f).collect(),
            memory_mb: 4_000.0,
            idle_life: 10_000_000,
            loads: 2,
            queue: 1000,
            when_absent: WhenAbsent::Load,
            cores: 4.0,
            cold_from: 1.0,
            warm_up: 1,
            fall_multiple: 1e9,
            fall_after: 1_000_000,
        };
        let name = profile.name.clone();
        let standin = Standin::start(spawner.clone(), listener, profile, true)?;
        let listed = Listed { name, kind: 0, cell: 0, zone: 0, state: 0, age: None, share: 1.0 };
        workers.push(Worker { listed, address: standin.address() });
    }
    hub.list(workers);
    let grpc = listen(a.listen, false)?;
    let http = listen(a.http, false)?;
    let (grpc_at, http_at) = (grpc.local_addr()?, http.local_addr()?);
    let limits = hub.setup.clients;
    let _server = Server::start(spawner.clone(), grpc, limits, clients::handler(hub.clone()))?;
    side::start(hub.clone(), http)?;
    println!("ready grpc={grpc_at} http={http_at}");
    std::io::stdout().flush()?;
    loop {
        event_loop.dispatch(hub.sleep().or(Some(Duration::from_secs(1))), &mut ())?;
        hub.tick();
    }
}
