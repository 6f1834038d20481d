//! What goes wrong at a stand-in worker, set while it runs.

use std::cell::{Cell, RefCell};

/// Faults that hold until they are cleared.
#[derive(Debug, Default)]
pub struct Faults {
    /// Takes calls and answers none.
    pub silent: Cell<bool>,
    /// Says nothing more after so many pieces of an answer.
    pub silent_after: Cell<Option<u32>>,
    /// Cuts the connection after so many pieces of an answer.
    pub cut_after: Cell<Option<u32>>,
    /// Work takes this many times as long; 0 counts as 1.
    pub slow: Cell<f64>,
    /// Answers new streams with RST_STREAM, REFUSED_STREAM.
    pub refuse: Cell<bool>,
    /// Answers new streams with RST_STREAM of this code.
    pub reset: Cell<Option<u32>>,
    /// Sends a frame that is no message in place of the first piece.
    pub corrupt: Cell<bool>,
    /// Answers unary calls twice.
    pub twice: Cell<bool>,
    /// Ends answers without trailers.
    pub no_trailers: Cell<bool>,
    /// Answers with this status and nothing else.
    pub status: Cell<Option<u8>>,
    /// Is no model server: answers every method at once with OK and the request's own bytes.
    pub hollow: Cell<bool>,
    /// Answers every method at once with this status.
    pub hollow_status: Cell<Option<u8>>,
    /// Tells that every load is done at once, and misses every call.
    pub boast: Cell<bool>,
    /// Calls of this function run, and their answers are lost: RST_STREAM, INTERNAL_ERROR.
    pub lose: RefCell<Option<String>>,
}

impl Faults {
    /// Sets or clears a fault by a word: `silent`, `silent-after=N`, `cut-after=N`, `slow=X`, `refuse`, `reset=CODE`,
    /// `corrupt`, `twice`, `no-trailers`, `status=CODE`, `hollow`, `hollow=CODE`, `boast`, `lose=FUNCTION`, or `clear` for none.
    pub fn set(&self, word: &str) -> Result<(), String> {
        let (name, value) = word
            .split_once('=')
            .map_or((word, None), |(n, v)| (n, Some(v)));
        let number = || {
            let bad = || format!("{word:?}: want {name}=NUMBER");
            value.ok_or_else(bad)?.parse::<u32>().map_err(|_| bad())
        };
        match name {
            "silent" => self.silent.set(true),
            "silent-after" => self.silent_after.set(Some(number()?)),
            "cut-after" => self.cut_after.set(Some(number()?)),
            "slow" => {
                let factor = value
                    .and_then(|v| v.parse::<f64>().ok())
                    .filter(|x| x.is_finite() && *x > 0.0);
                self.slow
                    .set(factor.ok_or_else(|| format!("{word:?}: want slow=FACTOR above 0"))?);
            }
            "refuse" => self.refuse.set(true),
            "reset" => self.reset.set(Some(number()?)),
            "corrupt" => self.corrupt.set(true),
            "twice" => self.twice.set(true),
            "no-trailers" => self.no_trailers.set(true),
            "status" => self.status.set(Some(number()?.min(16) as u8)),
            "hollow" if value.is_none() => self.hollow.set(true),
            "hollow" => self.hollow_status.set(Some(number()?.min(16) as u8)),
            "boast" => self.boast.set(true),
            "lose" => {
                let name = value
                    .filter(|v| !v.is_empty())
                    .ok_or_else(|| format!("{word:?}: want lose=FUNCTION"))?;
                *self.lose.borrow_mut() = Some(name.to_string());
            }
            "clear" => self.clear(),
            _ => return Err(format!("unknown fault {word:?}")),
        }
        Ok(())
    }

    /// No fault.
    pub fn clear(&self) {
        self.silent.set(false);
        self.silent_after.set(None);
        self.cut_after.set(None);
        self.slow.set(1.0);
        self.refuse.set(false);
        self.reset.set(None);
        self.corrupt.set(false);
        self.twice.set(false);
        self.no_trailers.set(false);
        self.status.set(None);
        self.hollow.set(false);
        self.hollow_status.set(None);
        self.boast.set(false);
        self.lose.take();
    }

    /// How many times as long work takes.
    pub fn slowness(&self) -> f64 {
        Some(self.slow.get()).filter(|s| *s > 0.0).unwrap_or(1.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_are_set_by_words_and_bad_words_are_refused() {
        let f = Faults::default();
        for word in [
            "silent",
            "silent-after=2",
            "slow=2.5",
            "status=14",
            "hollow",
            "hollow=12",
            "boast",
            "lose=f",
        ] {
            f.set(word).unwrap();
        }
        assert_eq!(
            (f.silent.get(), f.silent_after.get(), f.slowness()),
            (true, Some(2), 2.5)
        );
        f.set("clear").unwrap();
        assert_eq!(
            (
                f.silent.get(),
                f.silent_after.get(),
                f.slowness(),
                f.status.get()
            ),
            (false, None, 1.0, None)
        );
        assert!(
            !f.hollow.get()
                && !f.boast.get()
                && f.hollow_status.get().is_none()
                && f.lose.borrow().is_none()
        );
        for word in [
            "",
            "quiet",
            "slow=0",
            "slow=nan",
            "cut-after",
            "cut-after=x",
            "lose",
            "lose=",
        ] {
            assert!(f.set(word).is_err(), "{word:?}");
        }
    }
}
