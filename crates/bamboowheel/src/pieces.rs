//! Bodies in pieces, with back-pressure: a bounded channel that ends with an explicit end, so that
//! a body whose sender was dropped is known to be cut.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use derive_more::Display;
use tokio::sync::{mpsc, oneshot};

/// Pieces that may wait in one body's channel.
pub const DEPTH: usize = 4;
/// The longest piece, in bytes.
pub const PIECE_LIMIT: usize = 64 * 1024;

/// A piece of a body.
#[derive(Clone, Debug, PartialEq)]
pub enum Piece {
    /// Some bytes.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// The body was cut before its end.
#[derive(Debug, Display)]
#[display("the body was cut")]
pub struct Cut;

impl std::error::Error for Cut {}

impl From<Infallible> for Cut {
    fn from(never: Infallible) -> Cut {
        match never {}
    }
}

/// A body read from a channel, after a prefix that is held already.
#[derive(Debug)]
pub struct Pieces {
    prefix: Bytes,
    /// None where the prefix is all.
    rest: Option<mpsc::Receiver<Piece>>,
    /// The whole length, where it is known.
    length: Option<u64>,
    /// Bytes handed out.
    given: u64,
    /// Told when the whole body was taken: at its last byte where its length is known, since a
    /// reader that knows the length does not ask for the end.
    taken: Option<oneshot::Sender<()>>,
}

impl Pieces {
    /// Opens a body.
    pub fn new(prefix: Bytes, rest: Option<mpsc::Receiver<Piece>>, length: Option<u64>) -> Pieces {
        let length = if rest.is_none() { Some(prefix.len() as u64) } else { length };
        Pieces { prefix, rest, length, given: 0, taken: None }
    }

    /// Returns the body and a signal that it was taken whole.
    pub fn with_signal(mut self) -> (Pieces, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        self.taken = Some(sender);
        self.note_taken();
        (self, receiver)
    }

    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, Cut>>> {
        if !self.prefix.is_empty() {
            let prefix = std::mem::take(&mut self.prefix);
            return Poll::Ready(Some(Ok(self.hand_out(prefix))));
        }
        let piece = match &mut self.rest {
            Some(rest) => ready!(rest.poll_recv(context)),
            None => Some(Piece::End),
        };
        Poll::Ready(match piece {
            Some(Piece::Data(bytes)) => Some(Ok(self.hand_out(bytes))),
            Some(Piece::End) => {
                self.rest = None;
                self.taken.take().map(|taken| taken.send(()));
                None
            }
            None => Some(Err(Cut)),
        })
    }
}

impl Pieces {
    fn hand_out(&mut self, bytes: Bytes) -> Bytes {
        self.given += bytes.len() as u64;
        self.note_taken();
        bytes
    }

    fn note_taken(&mut self) {
        if self.length == Some(self.given) {
            self.taken.take().map(|taken| taken.send(()));
        }
    }
}

impl hyper::body::Body for Pieces {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<hyper::body::Frame<Bytes>, Cut>>> {
        let piece = self.get_mut().poll_piece(context);
        piece.map(|piece| piece.map(|piece| piece.map(hyper::body::Frame::data)))
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        let exact = self.length.map(hyper::body::SizeHint::with_exact);
        exact.unwrap_or_default()
    }
}

impl xitca_web::body::Body for Pieces {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<xitca_web::body::Frame<Bytes>, Cut>>> {
        let piece = self.get_mut().poll_piece(context);
        piece.map(|piece| piece.map(|piece| piece.map(xitca_web::body::Frame::Data)))
    }

    fn size_hint(&self) -> xitca_web::body::SizeHint {
        match self.length {
            Some(length) => xitca_web::body::SizeHint::Exact(length),
            None => xitca_web::body::SizeHint::Unknown,
        }
    }
}
