//! All timeouts of an event loop, behind a single calloop timer.
//!
//! calloop searches its list of sources on insertion and its timer heap on removal, so with one timer per slow client
//! each client would slow down the others. The timer wheel (`tansy_timer_wheel`) inserts and removes in time
//! independent of the number of timeouts.

use calloop::timer::{TimeoutAction, Timer};
use calloop::{Dispatcher, LoopHandle, RegistrationToken};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tansy_timer_wheel::{Handle, Wheel};

/// Duration of a tick of the wheel, microseconds; a timeout fires at most this late.
const TICK_MICROS: i64 = 100;

/// The timeouts of one event loop.
pub struct Timers {
    epoch: Instant,
    handle: LoopHandle<'static, ()>,
    wheel: RefCell<Wheel<Option<Waker>>>,
    source: Dispatcher<'static, Timer, ()>,
    token: Cell<Option<RegistrationToken>>,
    /// When the calloop timer is due, on the wheel's clock; none if no timeout is set.
    armed: Cell<Option<i64>>,
    due: RefCell<Vec<Option<Waker>>>,
}

impl Timers {
    /// Inserts the calloop timer into an event loop.
    pub fn new(handle: LoopHandle<'static, ()>) -> io::Result<Rc<Timers>> {
        let timers = Rc::new_cyclic(|weak: &Weak<Timers>| {
            let weak = weak.clone();
            let on_fired = move |_, _: &mut (), _: &mut ()| match weak.upgrade() {
                Some(timers) => timers.on_fired(),
                None => TimeoutAction::Drop,
            };
            Timers {
                epoch: Instant::now(),
                handle: handle.clone(),
                wheel: RefCell::new(Wheel::new(0, TICK_MICROS)),
                source: Dispatcher::new(Timer::immediate(), on_fired),
                token: Cell::new(None),
                armed: Cell::new(Some(0)),
                due: RefCell::new(Vec::new()),
            }
        });
        let token = handle.register_dispatcher(timers.source.clone());
        timers.token.set(Some(token.map_err(io::Error::other)?));
        Ok(timers)
    }

    fn now(&self) -> i64 {
        to_micros(self.epoch.elapsed())
    }

    /// Returns a future that completes after `span`.
    pub fn sleep(self: &Rc<Self>, span: Duration) -> Sleep {
        let at = self.now().saturating_add(to_micros(span));
        let handle = self.wheel.borrow_mut().set(at, None);
        if self.armed.get().is_none_or(|armed| at < armed) {
            self.arm(at);
        }
        Sleep {
            timers: self.clone(),
            handle,
        }
    }

    /// The number of timeouts that have not fired.
    pub fn pending(&self) -> usize {
        self.wheel.borrow().len()
    }

    /// Time until the calloop timer fires, which bounds the sleep of the event loop.
    pub fn next_in(&self) -> Option<Duration> {
        let at = self.armed.get()?;
        Some(self.instant(at).saturating_duration_since(Instant::now()))
    }

    fn arm(&self, at: i64) {
        self.armed.set(Some(at));
        self.source.as_source_mut().set_deadline(self.instant(at));
        if let Some(token) = self.token.get() {
            // Fails only if the source was removed, which happens only with the event loop.
            let _ = self.handle.update(&token);
        }
    }

    fn instant(&self, at: i64) -> Instant {
        // The first tick at or after `at` has begun by then. Times beyond the clock's range are checked again after a
        // day.
        let span = Duration::from_micros(at.saturating_add(TICK_MICROS).max(0) as u64);
        self.epoch
            .checked_add(span)
            .unwrap_or_else(|| Instant::now() + Duration::from_secs(86_400))
    }

    /// Wakes the tasks whose timeouts are due and rearms the calloop timer.
    fn on_fired(&self) -> TimeoutAction {
        let mut due = self.due.take();
        let next = {
            let mut wheel = self.wheel.borrow_mut();
            wheel.expire(self.now(), |waker| due.push(waker));
            wheel.next_due()
        };
        due.drain(..).flatten().for_each(Waker::wake);
        self.due.replace(due);
        self.armed.set(next);
        match next {
            Some(at) => TimeoutAction::ToInstant(self.instant(at)),
            // No timeout is set; setting one rearms the timer.
            None => TimeoutAction::ToDuration(Duration::from_secs(86_400)),
        }
    }
}

fn to_micros(span: Duration) -> i64 {
    i64::try_from(span.as_micros()).unwrap_or(i64::MAX)
}

/// Completes at its due time. Dropping it earlier removes its timeout.
pub struct Sleep {
    timers: Rc<Timers>,
    handle: Handle,
}

impl Future for Sleep {
    type Output = ();
    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        match self.timers.wheel.borrow_mut().get_mut(self.handle) {
            None => Poll::Ready(()),
            Some(waker) => {
                if !waker
                    .as_ref()
                    .is_some_and(|waker| waker.will_wake(cx.waker()))
                {
                    *waker = Some(cx.waker().clone());
                }
                Poll::Pending
            }
        }
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.timers.wheel.borrow_mut().clear(self.handle);
    }
}
