//! Noticing that a caller has hung up while its answer is still being made.
//!
//! The HTTP library reads nothing from a connection while a request on it is open, so a
//! caller that leaves is noticed only when its answer is written. Its tasks would hold
//! room until then, and run beside those of its next try.

use std::any;
use std::io;
use std::os::fd::AsFd as _;
use std::rc;

use actix_web::dev;
use actix_web::rt::net;
use tokio::io::Interest;

/// A second handle to a caller's connection, on which only its closing is watched.
#[derive(Clone, Debug)]
pub struct Hangup(rc::Rc<tokio::net::TcpStream>);

impl Hangup {
    /// Attaches a handle to a new connection.
    pub fn attach(connection: &dyn any::Any, data: &mut dev::Extensions) {
        let Some(stream) = connection.downcast_ref::<net::TcpStream>() else {
            return;
        };
        match duplicate(stream) {
            Ok(stream) => {
                data.insert(Self(rc::Rc::new(stream)));
            }
            Err(e) => log::warn!(event = "connection.unwatched"; "{e}"),
        }
    }

    /// Returns once the caller has closed its end, or the connection broke.
    pub async fn closed(&self) {
        loop {
            let Ok(ready) = self.0.ready(Interest::READABLE).await else {
                return;
            };
            if ready.is_read_closed() || ready.is_error() {
                return;
            }
            // What came is the library's to read; only the news of it is taken note of.
            let noted: io::Result<()> = self
                .0
                .try_io(Interest::READABLE, || Err(io::ErrorKind::WouldBlock.into()));
            debug_assert!(noted.is_err(), "nothing is read here");
        }
    }
}

fn duplicate(stream: &net::TcpStream) -> io::Result<tokio::net::TcpStream> {
    let fd = stream.as_fd().try_clone_to_owned()?;
    tokio::net::TcpStream::from_std(std::net::TcpStream::from(fd))
}
