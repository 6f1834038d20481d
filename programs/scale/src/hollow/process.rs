//! The event loop of a process of hollow front ends, which executes its commands.

use super::front_ends::HollowFrontEnds;
use super::protocol::{HollowCommand, HollowEvent};
use super::transport;
use crate::Error;
use calloop::channel::{channel, Channel, Event};
use calloop::EventLoop;
use std::cell::RefCell;
use std::io::{self, BufRead};
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tansy_net_sockets::socket::listen;
use tansy_net_sockets::Spawner;

/// Maximum time between two checks of whether the process is to exit.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// Runs a process of hollow front ends until its input is closed or a command fails.
pub fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            HollowEvent::Failed(error.to_string()).send();
            ExitCode::from(1)
        }
    }
}

fn serve() -> Result<(), Error> {
    let mut event_loop: EventLoop<'static, ()> = EventLoop::try_new()?;
    let spawner = Spawner::new(event_loop.handle())?;
    let result = Rc::new(RefCell::new(None::<Result<(), Error>>));
    let result_sink = result.clone();
    let mut front_ends = None;
    event_loop
        .handle()
        .insert_source(read_commands(), move |event, (), ()| match event {
            Event::Msg(command) => {
                let done = command.and_then(|command| execute(&spawner, &mut front_ends, command));
                if done.is_err() {
                    *result_sink.borrow_mut() = Some(done);
                }
            }
            Event::Closed => *result_sink.borrow_mut() = Some(Ok(())),
        })
        .map_err(|error| io::Error::other(error.to_string()))?;
    loop {
        if let Some(result) = result.borrow_mut().take() {
            return result;
        }
        event_loop.dispatch(Some(DISPATCH_TIMEOUT), &mut ())?;
    }
}

/// Reads commands from standard input on a thread; the channel is closed at the end of the input.
fn read_commands() -> Channel<Result<HollowCommand, Error>> {
    let (sender, commands) = channel();
    std::thread::spawn(move || {
        for line in io::stdin().lock().lines() {
            let Ok(line) = line else { return };
            let command = serde_json::from_str(&line).map_err(Error::InvalidCommand);
            if sender.send(command).is_err() {
                return;
            }
        }
    });
    commands
}

fn execute(
    spawner: &Spawner,
    front_ends: &mut Option<Rc<HollowFrontEnds>>,
    command: HollowCommand,
) -> Result<(), Error> {
    if let HollowCommand::Initialize {
        settings,
        network,
        first,
        per_process,
    } = command
    {
        *front_ends = Some(initialize(spawner, &settings, network, first, per_process)?);
        return Ok(());
    }
    let front_ends = front_ends.as_ref().ok_or(Error::NotInitialized)?;
    match command {
        HollowCommand::Initialize { .. } => {}
        HollowCommand::Connect(processes) => front_ends.connect(&processes),
        HollowCommand::Start(starting) => {
            for (front_end, name) in starting {
                front_ends.start(front_end, name)?;
            }
        }
        HollowCommand::Kill(front_end) => front_ends.kill(front_end),
        HollowCommand::Call { functions, seed } => front_ends.start_calls(functions, seed),
        HollowCommand::Watch { id, functions } => front_ends.watch(id, functions),
        HollowCommand::Unwatch(id) => front_ends.unwatch(id),
        HollowCommand::Count => HollowEvent::Counted(front_ends.counters()).send(),
    }
    Ok(())
}

fn initialize(
    spawner: &Spawner,
    settings: &Path,
    network: u8,
    first: u32,
    per_process: u32,
) -> Result<Rc<HollowFrontEnds>, Error> {
    let name = settings.display().to_string();
    let text = std::fs::read_to_string(settings)?;
    let fleet = tansy_settings::parse_settings(&name, &text)?.fleet;
    let fleet = fleet.ok_or(Error::NoFleet)?;
    let front_ends = HollowFrontEnds::new(spawner.clone(), fleet, network, first, per_process);
    let front_ends = Rc::new(front_ends);
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0)), false)?;
    let address = listener.local_addr()?;
    let receiver = front_ends.clone();
    transport::listen(
        spawner,
        listener,
        Rc::new(move |front_end, message| receiver.receive(front_end, message)),
    )?;
    HollowEvent::Ready(address).send();
    Ok(front_ends)
}
