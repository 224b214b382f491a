// SPDX-FileCopyrightText: 2026 portpaddle contributors
// SPDX-License-Identifier: Apache-2.0

/// A list whose copies share their elements until one of them changes.
#pragma once

#include <cstddef>
#include <initializer_list>
#include <memory>
#include <utility>
#include <vector>

namespace Portpaddle {

/// A copy costs one pointer. It may be read on other threads while the original changes; copying itself counts as a change of the
/// original.
template<typename Element>
class SharedList
{
public:
    using const_iterator = typename std::vector<Element>::const_iterator;

    SharedList() = default;
    SharedList(std::vector<Element> elements)
        : elements_(std::make_shared<std::vector<Element>>(std::move(elements))), owned_(true)
    {
    }

    SharedList(std::initializer_list<Element> elements) : SharedList(std::vector<Element>(elements))
    {
    }

    SharedList(const SharedList &other) : elements_(other.elements_)
    {
        other.owned_ = false;
    }

    SharedList &operator=(const SharedList &other)
    {
        if (this != &other) {
            elements_ = other.elements_;
            owned_ = false;
            other.owned_ = false;
        }
        return *this;
    }

    SharedList(SharedList &&) noexcept = default;
    SharedList &operator=(SharedList &&) noexcept = default;
    ~SharedList() = default;

    const_iterator begin() const
    {
        return elements_->begin();
    }

    const_iterator end() const
    {
        return elements_->end();
    }

    std::size_t size() const
    {
        return elements_->size();
    }

    bool empty() const
    {
        return elements_->empty();
    }

    const Element &operator[](std::size_t index) const
    {
        return (*elements_)[index];
    }

    const Element &front() const
    {
        return elements_->front();
    }

    const Element &back() const
    {
        return elements_->back();
    }

    void push_back(Element element)
    {
        writable().push_back(std::move(element));
    }

    /// Returns the elements for a change.
    std::vector<Element> &writable()
    {
        if (!owned_) {
            elements_ = std::make_shared<std::vector<Element>>(*elements_);
            owned_ = true;
        }
        return *elements_;
    }

    bool sharesWith(const SharedList &other) const
    {
        return elements_ == other.elements_;
    }

private:
    std::shared_ptr<std::vector<Element>> elements_ = std::make_shared<std::vector<Element>>();
    mutable bool owned_ = false;
};

} // namespace Portpaddle
