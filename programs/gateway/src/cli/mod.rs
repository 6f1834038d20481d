//! Command line, logging and exit codes of the program.

mod arguments;
mod error;
mod placement;

use crate::logs::LossyStderr;
use crate::{platform, Gateway, Options, EMBEDDED_SETTINGS};
use arguments::{Arguments, LogFormat};
use clap::Parser;
use error::UsageError;
use placement::{placement, SettingsSource};
use std::ffi::OsString;
use std::fmt::Display;
use std::io::{IsTerminal, Write};
use std::path::PathBuf;
use std::process::ExitCode;
use tansy_settings::Settings;
use tracing_subscriber::EnvFilter;

/// Runs the program with its arguments, the first of which is the program's name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = Arguments::parse_from(arguments);
    let run = start_logs(&arguments).and_then(|()| {
        if arguments.platform {
            run_platform(arguments.check)
        } else {
            run_gateway(arguments)
        }
    });
    run.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(2)
    })
}

fn start_logs(arguments: &Arguments) -> Result<(), UsageError> {
    let filter = EnvFilter::try_new(format!("calloop=error,{}", arguments.log));
    let filter = filter.map_err(|source| UsageError::LogFilter {
        filter: arguments.log.clone(),
        source,
    })?;
    let logs = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(LossyStderr::new)
        .with_ansi(std::io::stderr().is_terminal());
    match arguments.logs {
        LogFormat::Plain => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
    Ok(())
}

fn run_gateway(arguments: Arguments) -> Result<ExitCode, UsageError> {
    let source = read_settings(&arguments)?;
    let mut settings = tansy_settings::parse_settings(&source.name, &source.text)?;
    override_settings(&arguments, &mut settings)?;
    if arguments.check {
        let classes = settings.dispatch.classes.len();
        let functions = settings.dispatch.functions.len();
        print_line(&format!(
            "{}: {classes} classes, {functions} functions",
            source.name
        ));
        return Ok(ExitCode::SUCCESS);
    }
    let fleet = placement(&arguments, &source, &mut settings)?;
    let options = Options {
        embedded: arguments.embedded,
        shared: arguments.shared,
        workers: arguments.workers,
        record: arguments.record,
        fleet,
    };
    let run = Gateway::start(settings, &options).and_then(|gateway| gateway.run(print_ready));
    Ok(exit_code(run))
}

fn read_settings(arguments: &Arguments) -> Result<SettingsSource, UsageError> {
    let Some(path) = &arguments.settings else {
        return Ok(SettingsSource {
            name: "embedded.cue".into(),
            text: EMBEDDED_SETTINGS.to_string(),
        });
    };
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(SettingsSource {
            name: path.display().to_string(),
            text,
        }),
        Err(source) => Err(UsageError::SettingsFile {
            path: path.clone(),
            source,
        }),
    }
}

/// Replaces settings by the arguments that override them.
fn override_settings(arguments: &Arguments, settings: &mut Settings) -> Result<(), UsageError> {
    let router = &mut settings.dispatch.settings;
    router.front_end_index = arguments.me.unwrap_or(router.front_end_index);
    let siblings = router.front_ends.max(router.front_end_index + 1);
    router.front_ends = arguments.siblings.unwrap_or(siblings);
    if router.front_end_index >= router.front_ends {
        return Err(UsageError::IndexOutOfRange {
            me: router.front_end_index,
            siblings: router.front_ends,
        });
    }
    let gateway = &mut settings.gateway;
    gateway.listen = arguments.listen.unwrap_or(gateway.listen);
    gateway.http = arguments.http.unwrap_or(gateway.http);
    Ok(())
}

fn print_ready(gateway: &Gateway) {
    let peers = gateway.peer_address();
    let peers = peers.map_or(String::new(), |address| format!(" peers={address}"));
    print_line(&format!(
        "ready grpc={} http={}{peers}",
        gateway.grpc_address(),
        gateway.http_address()
    ));
}

/// Runs a front end on the platform.
fn run_platform(check: bool) -> Result<ExitCode, UsageError> {
    let signals = match platform::Signals::new() {
        Ok(signals) => signals,
        Err(error) => return Ok(exit_code(Err::<String, _>(error))),
    };
    let path = std::env::var_os("EDGE_CONFIG").ok_or(UsageError::NoPlatformConfig)?;
    let path = PathBuf::from(path);
    let config = platform::read_at_start(&path)?;
    if check {
        let classes = config.settings.classes.len();
        let index = config.known.index;
        print_line(&format!(
            "{}: {classes} classes, list up to event {index}",
            path.display()
        ));
        return Ok(ExitCode::SUCCESS);
    }
    let run = platform::PlatformFrontEnd::start(&config);
    Ok(exit_code(
        run.and_then(|front_end| front_end.run(&path, signals)),
    ))
}

/// Prints the account line or the error with which a run ended, and returns the exit code.
fn exit_code(run: Result<String, impl Display>) -> ExitCode {
    match run {
        Ok(account) => {
            print_line(&format!("account {account}"));
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(1)
        }
    }
}

/// Prints a line to standard output. Errors are ignored: the gateway goes on serving when standard output has been closed.
fn print_line(line: &str) {
    let mut out = std::io::stdout();
    let _ = writeln!(out, "{line}").and_then(|()| out.flush());
}
