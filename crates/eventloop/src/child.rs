//! Actors that end with those that they own.

use stakker::{Cx, StopCause};

/// Ends the actor of `cx` as the child whose end was `cause`: with its error, or in peace.
pub fn end_like_child<A>(cx: &mut Cx<'_, A>, cause: StopCause)
where
    A: 'static,
{
    match cause {
        StopCause::Failed(error) => cx.fail_string(error.to_string()),
        _ => cx.stop(),
    }
}
