//! Attribute macros that stand for the sets of derives used most often.
//!
//! Each set is named after the role of the type: key, value or tag.

use proc_macro::TokenStream;

/// Derives the traits of a small `Copy` key, with ordering and hashing.
#[proc_macro_attribute]
pub fn key(_attribute: TokenStream, item: TokenStream) -> TokenStream {
    derive(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash",
        item,
    )
}

/// Derives the traits of plain data: `Clone`, `Debug`, `PartialEq` and `Eq`.
#[proc_macro_attribute]
pub fn value(_attribute: TokenStream, item: TokenStream) -> TokenStream {
    derive("Clone, Debug, PartialEq, Eq", item)
}

/// Derives the traits of a small `Copy` type, such as an enum without data.
#[proc_macro_attribute]
pub fn tag(_attribute: TokenStream, item: TokenStream) -> TokenStream {
    derive("Clone, Copy, Debug, PartialEq, Eq", item)
}

fn derive(traits: &str, item: TokenStream) -> TokenStream {
    let attribute = format!("#[derive({traits})]");
    let mut out: TokenStream = attribute
        .parse()
        .expect("the derive attribute is valid Rust");
    out.extend(item);
    out
}
