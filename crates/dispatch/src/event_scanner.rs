//! Finds the ends of events in the bytes of a stream.

/// Position in a stream of events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    /// At the start of a line.
    #[default]
    LineStart,
    /// Within a line.
    Line,
    /// Behind a carriage return, which ends a line alone or together with a line feed.
    CarriageReturn { is_line_empty: bool },
    /// Behind a carriage return that is known to have ended an empty line.
    EmptyLineEnd,
}

enum Step {
    /// No event ends at the byte.
    Inside,
    /// An event ended before the byte, which has not been processed.
    EndsBefore,
    /// An event ends with the byte.
    EndsAfter,
}

/// Finds the empty lines that end events. A line ends with a line feed, a carriage return, or both.
///
/// Unless the line before ended with a carriage return alone, a carriage return that ends an empty
/// line may be the first half of a line end: the event ends at the next byte.
#[derive(Debug, Clone, Copy, Default)]
pub struct EventScanner {
    position: Position,
    /// Whether the last line ended with a carriage return alone.
    ended_by_carriage_return: bool,
    /// Whether the current event has begun a line that is no comment.
    has_field: bool,
}

impl EventScanner {
    /// Processes bytes up to the next end of an event, and returns the number of bytes before that
    /// end. Without an end, all bytes are processed.
    pub fn next_end(&mut self, bytes: &[u8]) -> Option<usize> {
        bytes.iter().enumerate().find_map(|(index, byte)| match self.step(*byte) {
            Step::Inside => None,
            Step::EndsBefore => Some(index),
            Step::EndsAfter => Some(index + 1),
        })
    }

    /// Returns whether the stream has begun an event, or any line, and not ended it. Whole comments
    /// and empty lines belong to no event.
    pub fn is_within_event(&self) -> bool {
        self.has_field || self.position == Position::Line
    }

    fn step(&mut self, byte: u8) -> Step {
        match (self.position, byte) {
            (Position::CarriageReturn { is_line_empty }, b'\n') => {
                self.end_line(is_line_empty, false)
            }
            (Position::EmptyLineEnd, b'\n') => self.end_line(true, false),
            (Position::CarriageReturn { is_line_empty: true }, _) => {
                self.end_line(true, true);
                Step::EndsBefore
            }
            (Position::CarriageReturn { .. } | Position::EmptyLineEnd, _) => {
                self.end_line(false, true);
                self.step_in_line(byte)
            }
            (Position::LineStart | Position::Line, _) => self.step_in_line(byte),
        }
    }

    fn step_in_line(&mut self, byte: u8) -> Step {
        let is_line_empty = self.position == Position::LineStart;
        match byte {
            b'\n' => self.end_line(is_line_empty, false),
            b'\r' if is_line_empty && self.ended_by_carriage_return => {
                self.has_field = false;
                self.position = Position::EmptyLineEnd;
                Step::EndsAfter
            }
            b'\r' => {
                self.position = Position::CarriageReturn { is_line_empty };
                Step::Inside
            }
            _ => {
                self.has_field |= is_line_empty && byte != b':';
                self.position = Position::Line;
                Step::Inside
            }
        }
    }

    fn end_line(&mut self, is_line_empty: bool, by_carriage_return: bool) -> Step {
        self.position = Position::LineStart;
        self.ended_by_carriage_return = by_carriage_return;
        if !is_line_empty {
            return Step::Inside;
        }
        self.has_field = false;
        Step::EndsAfter
    }
}
