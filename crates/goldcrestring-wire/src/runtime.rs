//! The async executor of a process, and its clock.

use goldcrestring::clock::{Clock, Uptime};
use smol::{Executor, Task, Timer};
use std::future::Future;
use std::time::{Duration, SystemTime};

static EXECUTOR: Executor<'static> = Executor::new();

/// Starts the executor's threads, at least one; called once per process.
///
/// # Errors
///
/// The operating system's error if a thread can't be started.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::runtime;
///
/// runtime::start(1)?;
/// assert_eq!(smol::block_on(runtime::spawn(async { 7 })), 7);
/// # Ok::<(), std::io::Error>(())
/// ```
pub fn start(threads: usize) -> std::io::Result<()> {
    for number in 0..threads.max(1) {
        std::thread::Builder::new()
            .name(format!("worker-{number}"))
            .spawn(|| smol::block_on(EXECUTOR.run(std::future::pending::<()>())))?;
    }
    Ok(())
}

/// Spawns a future on the executor of the process.
pub fn spawn<T: Send + 'static>(future: impl Future<Output = T> + Send + 'static) -> Task<T> {
    EXECUTOR.spawn(future)
}

/// Waits for a future for at most `duration`; returns `None` on timeout.
///
/// # Examples
///
/// ```
/// use goldcrestring_wire::runtime::timeout;
/// use std::time::Duration;
///
/// let never = std::future::pending::<()>();
/// assert_eq!(smol::block_on(timeout(Duration::from_millis(1), never)), None);
/// ```
pub async fn timeout<T>(duration: Duration, future: impl Future<Output = T>) -> Option<T> {
    let expired = async {
        Timer::after(duration).await;
        None
    };
    smol::future::or(async { Some(future.await) }, expired).await
}

/// Waits for a duration.
pub async fn sleep(duration: Duration) {
    Timer::after(duration).await;
}

/// The system's clock.
///
/// # Examples
///
/// ```
/// use goldcrestring::clock::Clock;
/// use goldcrestring_wire::runtime::SystemClock;
///
/// assert!(SystemClock.uptime() <= SystemClock.uptime());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn uptime(&self) -> Uptime {
        // CLOCK_MONOTONIC does not advance while the VM is suspended.
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Duration::new(seconds, nanoseconds)
    }

    fn system_time(&self) -> SystemTime {
        SystemTime::now()
    }
}
