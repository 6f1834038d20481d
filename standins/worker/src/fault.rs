//! Faults that can be injected into a running stand-in worker.

use std::cell::{Cell, RefCell};

/// The highest gRPC status code.
const HIGHEST_STATUS: u32 = 16;

/// An invalid fault on the control port.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FaultError {
    /// The fault needs an integer.
    #[error("{word:?}: want {name}=NUMBER")]
    NotANumber {
        /// The text that was received.
        word: String,
        /// The name of the fault.
        name: String,
    },
    /// `slow` needs a positive factor.
    #[error("{0:?}: want slow=FACTOR above 0")]
    NotAFactor(String),
    /// `lose` needs the name of a function.
    #[error("{0:?}: want lose=FUNCTION")]
    NoFunction(String),
    /// No fault with this name exists.
    #[error("unknown fault {0:?}")]
    Unknown(String),
}

fn parse_factor(word: &str, value: Option<&str>) -> Result<f64, FaultError> {
    value
        .and_then(|value| value.parse::<f64>().ok())
        .filter(|factor| factor.is_finite() && *factor > 0.0)
        .ok_or_else(|| FaultError::NotAFactor(word.to_string()))
}

/// The active faults. A fault stays active until all are cleared.
#[derive(Debug, Default)]
pub struct Faults {
    /// Accepts calls and never answers them.
    pub silent: Cell<bool>,
    /// Stops responding after this number of response messages.
    pub silent_after: Cell<Option<u32>>,
    /// Closes all connections after this number of response messages.
    pub cut_after: Cell<Option<u32>>,
    /// Factor by which work takes longer; 0 counts as 1.
    pub slowdown: Cell<f64>,
    /// Resets new streams with REFUSED_STREAM.
    pub refuse: Cell<bool>,
    /// Resets new streams with this error code.
    pub reset: Cell<Option<u32>>,
    /// Sends invalid bytes in place of each response message.
    pub corrupt: Cell<bool>,
    /// Sends the message of a unary response twice.
    pub duplicate_message: Cell<bool>,
    /// Ends responses without trailers.
    pub no_trailers: Cell<bool>,
    /// Answers calls with this status and no message.
    pub status: Cell<Option<u8>>,
    /// Answers every method at once with OK and the bytes of the request, as a server of another protocol might.
    pub echo_request: Cell<bool>,
    /// Answers every method at once with this status and no message.
    pub fixed_status: Cell<Option<u8>>,
    /// Reports every load as finished at once, and rejects every call as not loaded.
    pub false_load_success: Cell<bool>,
    /// Resets the streams of this function's calls with INTERNAL_ERROR once they run.
    pub lost_function: RefCell<Option<String>>,
}

impl Faults {
    /// Sets a fault by its name on the control port: `silent`, `silent-after=N`, `cut-after=N`, `slow=X`, `refuse`,
    /// `reset=CODE`, `corrupt`, `twice`, `no-trailers`, `status=CODE`, `hollow`, `hollow=CODE`, `boast` or `lose=FUNCTION`.
    /// `clear` clears all faults.
    pub fn set(&self, word: &str) -> Result<(), FaultError> {
        let (name, value) = match word.split_once('=') {
            Some((name, value)) => (name, Some(value)),
            None => (word, None),
        };
        let number = || {
            let number = value.and_then(|value| value.parse::<u32>().ok());
            number.ok_or_else(|| FaultError::NotANumber {
                word: word.to_string(),
                name: name.to_string(),
            })
        };
        match name {
            "silent" => self.silent.set(true),
            "silent-after" => self.silent_after.set(Some(number()?)),
            "cut-after" => self.cut_after.set(Some(number()?)),
            "slow" => self.slowdown.set(parse_factor(word, value)?),
            "refuse" => self.refuse.set(true),
            "reset" => self.reset.set(Some(number()?)),
            "corrupt" => self.corrupt.set(true),
            "twice" => self.duplicate_message.set(true),
            "no-trailers" => self.no_trailers.set(true),
            "status" => self.status.set(Some(number()?.min(HIGHEST_STATUS) as u8)),
            "hollow" if value.is_none() => self.echo_request.set(true),
            "hollow" => {
                let status = number()?.min(HIGHEST_STATUS) as u8;
                self.fixed_status.set(Some(status));
            }
            "boast" => self.false_load_success.set(true),
            "lose" => {
                let function = value.filter(|function| !function.is_empty());
                let function = function.ok_or_else(|| FaultError::NoFunction(word.to_string()))?;
                *self.lost_function.borrow_mut() = Some(function.to_string());
            }
            "clear" => self.clear(),
            _ => return Err(FaultError::Unknown(word.to_string())),
        }
        Ok(())
    }

    /// Clears all faults.
    pub fn clear(&self) {
        self.silent.set(false);
        self.silent_after.set(None);
        self.cut_after.set(None);
        self.slowdown.set(1.0);
        self.refuse.set(false);
        self.reset.set(None);
        self.corrupt.set(false);
        self.duplicate_message.set(false);
        self.no_trailers.set(false);
        self.status.set(None);
        self.echo_request.set(false);
        self.fixed_status.set(None);
        self.false_load_success.set(false);
        self.lost_function.take();
    }

    /// The factor by which work takes longer.
    pub fn slowdown_factor(&self) -> f64 {
        Some(self.slowdown.get())
            .filter(|factor| *factor > 0.0)
            .unwrap_or(1.0)
    }
}

#[cfg(test)]
mod tests;
