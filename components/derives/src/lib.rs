//! The common sets of derives, one attribute each.
//!
//! A set is named for what the type is, so that a reader sees at once whether
//! it is a key, a value or a part of a configuration file.

use proc_macro::TokenStream;

/// Derives what a small `Copy` key needs: ordering, hashing and printing.
#[proc_macro_attribute]
pub fn key(_attribute: TokenStream, item: TokenStream) -> TokenStream {
    derive(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash",
        item,
    )
}

/// Derives what plain data needs: cloning, comparing and printing.
#[proc_macro_attribute]
pub fn value(_attribute: TokenStream, item: TokenStream) -> TokenStream {
    derive("Clone, Debug, PartialEq, Eq", item)
}

/// Derives what a small closed set of `Copy` data needs.
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
