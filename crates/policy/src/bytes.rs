//! A bound on the bytes that a node holds for the bodies of requests and answers together.

/// Share of the budget that large requests leave free, as a divisor.
const SMALL_SHARE: usize = 8;
/// Share of the budget that answers may take up, as a divisor.
const ANSWER_SHARE: usize = 2;
/// Share of the budget that the answers of the node's own target may take up, as a divisor.
const TARGET_SHARE: usize = 4;
/// A request body of more bytes is large.
const SMALL_BYTES: usize = 64 * 1024;

/// What a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyKind {
    /// A request, of a caller or of another node.
    Request,
    /// An answer from another node.
    Answer,
    /// An answer of the node's own target.
    TargetAnswer,
}

/// The bytes that may be held, and those that are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteBudget {
    most: usize,
    /// For requests; with the answers never above `most`.
    requests: usize,
    /// For answers from other nodes; with `target_answers` never above half of `most`.
    answers: usize,
    /// For answers of the node's own target; never above a quarter of `most`.
    target_answers: usize,
}

impl ByteBudget {
    /// Creates a budget of `most` bytes, none of which are held.
    pub fn new(most: usize) -> ByteBudget {
        ByteBudget { most, requests: 0, answers: 0, target_answers: 0 }
    }

    /// Takes `more` bytes for a body that holds `held` already. Returns false and takes none if fewer
    /// are left for bodies of its kind and size: large requests leave an eighth to small ones and to
    /// answers, answers leave half to requests, and those of the node's own target leave a quarter to
    /// those from other nodes.
    pub fn take(&mut self, kind: BodyKind, held: usize, more: usize) -> bool {
        let left = self.most - self.held();
        let left = match kind {
            BodyKind::Request if held.saturating_add(more) <= SMALL_BYTES => left,
            BodyKind::Request => left.min(self.request_limit().saturating_sub(self.requests)),
            BodyKind::Answer => left.min(self.answers_left()),
            BodyKind::TargetAnswer => {
                left.min(self.answers_left()).min(self.most / TARGET_SHARE - self.target_answers)
            }
        };
        let fits = more <= left;
        *self.count_mut(kind) += if fits { more } else { 0 };
        fits
    }

    /// Returns bytes that were taken for bodies of a kind.
    pub fn give_back(&mut self, kind: BodyKind, bytes: usize) {
        let count = self.count_mut(kind);
        *count = count.saturating_sub(bytes);
    }

    /// Returns the bytes that are held.
    pub fn held(&self) -> usize {
        self.requests + self.answers + self.target_answers
    }

    fn answers_left(&self) -> usize {
        self.most / ANSWER_SHARE - self.answers - self.target_answers
    }

    fn request_limit(&self) -> usize {
        self.most - self.most / SMALL_SHARE
    }

    fn count_mut(&mut self, kind: BodyKind) -> &mut usize {
        match kind {
            BodyKind::Request => &mut self.requests,
            BodyKind::Answer => &mut self.answers,
            BodyKind::TargetAnswer => &mut self.target_answers,
        }
    }
}
